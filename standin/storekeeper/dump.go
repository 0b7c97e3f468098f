package storekeeper

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// receivedWrite is a write as it arrived; bodies are text here so that a search finds what they hold.
type receivedWrite struct {
	Method string `json:"method"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

type heldObject struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   string `json:"value"`
}

type dump struct {
	Objects []heldObject    `json:"objects"`
	Writes  []receivedWrite `json:"writes"`
}

// Dump returns as JSON all objects held and the bodies of all writes received, as text.
func (k *Storekeeper) Dump() ([]byte, error) {
	k.mu.Lock()
	held := dump{Objects: []heldObject{}, Writes: append([]receivedWrite{}, k.writes...)}
	for key, r := range k.records {
		if r.current.Version != 0 {
			held.Objects = append(held.Objects, heldObject{Key: key, Version: r.current.Version, Value: string(r.current.Value)})
		}
	}
	k.mu.Unlock()
	sort.Slice(held.Objects, func(i, j int) bool { return held.Objects[i].Key < held.Objects[j].Key })
	text, err := json.Marshal(held)
	return text, errors.Wrap(err, "dump of the store")
}

func (k *Storekeeper) noteWrite(method, key string, body []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Writes++
	k.counts.ReceivedBytes += int64(len(body))
	k.writes = append(k.writes, receivedWrite{Method: method, Key: key, Body: string(body)})
}
