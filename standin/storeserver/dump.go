package storeserver

import (
	"encoding/json"
	"sort"

	"github.com/pkg/errors"
)

// receivedWrite is a write as it arrived; the body is a string, so that a text search in the dump finds its content.
type receivedWrite struct {
	Method string `json:"method"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

type dumpedObject struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   string `json:"value"`
}

type storeDump struct {
	Objects []dumpedObject  `json:"objects"`
	Writes  []receivedWrite `json:"writes"`
}

// Dump returns all stored objects and the bodies of all received writes as JSON, with values and bodies as text.
func (s *Server) Dump() ([]byte, error) {
	s.mu.Lock()
	contents := storeDump{Objects: []dumpedObject{}, Writes: append([]receivedWrite{}, s.writes...)}
	for key, r := range s.records {
		if r.current.Version != 0 {
			contents.Objects = append(contents.Objects, dumpedObject{Key: key, Version: r.current.Version, Value: string(r.current.Value)})
		}
	}
	s.mu.Unlock()
	sort.Slice(contents.Objects, func(i, j int) bool { return contents.Objects[i].Key < contents.Objects[j].Key })
	text, err := json.Marshal(contents)
	return text, errors.Wrap(err, "dump of the store")
}

func (s *Server) recordWrite(method, key string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.counts.ReceivedBytes += int64(len(body))
	s.writes = append(s.writes, receivedWrite{Method: method, Key: key, Body: string(body)})
}
