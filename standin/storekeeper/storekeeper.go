package storekeeper

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"poplarhook.example/lib/object"
)

// maxValueBytes is the largest value that is taken.
const maxValueBytes = 1 << 20

// Settings are the faults that the store shows.
type Settings struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Hang holds every call back; a held write is applied when the hang ends, even when its caller has left.
	Hang bool `json:"hang"`
	// DelayMS is the time that each call takes, half of it before its effect.
	DelayMS int `json:"delay_ms"`
	// LoseReplies is how many of the next writes are applied but not answered.
	LoseReplies int `json:"lose_replies"`
	// Stale shows readers and watchers each object as it was before its last write.
	Stale bool `json:"stale"`
}

// Storekeeper is an object store in memory; it is an http.Handler for the paths under /v1/objects and /v1/watch.
type Storekeeper struct {
	handler http.Handler
	closed  chan struct{}

	mu       sync.Mutex
	settings Settings
	changed  chan struct{}
	version  int64
	records  map[string]record
	counts   counts
	writes   []receivedWrite
}

// record holds an object as it is and as it was before the last write; version 0 stands for absent.
type record struct {
	current  object.Object
	previous object.Object
}

type counts struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Watches       int64 `json:"watches"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// New returns an empty store.
func New() *Storekeeper {
	k := &Storekeeper{
		closed:  make(chan struct{}),
		changed: make(chan struct{}),
		records: make(map[string]record),
	}
	k.handler = k.routes()
	return k
}

// Close ends the calls that hang or watch; it is called once.
func (k *Storekeeper) Close() {
	close(k.closed)
}

// Settings returns the faults that the store shows now.
func (k *Storekeeper) Settings() Settings {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.settings
}

// Change changes the faults that the store shows.
func (k *Storekeeper) Change(change func(*Settings)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.settings)
	k.broadcast()
}

// Calls returns how many reads, writes and watches arrived, and the bytes of their bodies.
func (k *Storekeeper) Calls() (reads, writes, watches, receivedBytes int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts.Reads, k.counts.Writes, k.counts.Watches, k.counts.ReceivedBytes
}

// Put writes an object past all faults and returns its version.
func (k *Storekeeper) Put(key string, value []byte) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.apply(key, value)
}

// Get returns the newest object of the key past all faults.
func (k *Storekeeper) Get(key string) (object.Object, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := k.records[key].current
	return found, found.Version != 0
}

// broadcast wakes every waiting call; the caller holds the lock.
func (k *Storekeeper) broadcast() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Storekeeper) apply(key string, value []byte) int64 {
	k.version++
	written := object.Object{Key: key, Version: k.version, Value: value}
	k.records[key] = record{current: written, previous: k.records[key].current}
	k.broadcast()
	return k.version
}

// put applies a conditional write and returns the new version, or 0 when the condition fails.
func (k *Storekeeper) put(key string, value []byte, holds condition) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !holds(k.records[key].current.Version) {
		return 0
	}
	return k.apply(key, value)
}

// remove applies a conditional delete and returns the status of its answer.
func (k *Storekeeper) remove(key string, holds condition) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	current := k.records[key].current
	if !holds(current.Version) {
		return http.StatusPreconditionFailed
	}
	if current.Version == 0 {
		return http.StatusNotFound
	}
	k.version++
	k.records[key] = record{previous: current}
	k.broadcast()
	return http.StatusNoContent
}

// visible returns the object as readers see it, and a channel that closes at the next change.
func (k *Storekeeper) visible(key string) (object.Object, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seen(k.records[key]), k.changed
}

func (k *Storekeeper) seen(r record) object.Object {
	if k.settings.Stale {
		return r.previous
	}
	return r.current
}

func (k *Storekeeper) list(prefix string) []listedObject {
	k.mu.Lock()
	defer k.mu.Unlock()
	listed := []listedObject{}
	for key, r := range k.records {
		found := k.seen(r)
		if found.Version != 0 && strings.HasPrefix(key, prefix) {
			listed = append(listed, listedObject{Key: key, Version: found.Version})
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Key < listed[j].Key })
	return listed
}

// admit waits while the store hangs and reports whether the call may go on.
func (k *Storekeeper) admit(ctx context.Context) bool {
	for {
		k.mu.Lock()
		settings, changed := k.settings, k.changed
		k.mu.Unlock()
		if settings.Down {
			return false
		}
		if !settings.Hang {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-k.closed:
			return false
		}
	}
}

// delay takes half of the time that a call takes.
func (k *Storekeeper) delay(ctx context.Context) {
	half := time.Duration(k.Settings().DelayMS) * time.Millisecond / 2
	if half <= 0 {
		return
	}
	timer := time.NewTimer(half)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-k.closed:
	}
}

// losesReply reports whether the reply to a write that took effect gets lost.
func (k *Storekeeper) losesReply() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.settings.LoseReplies <= 0 {
		return false
	}
	k.settings.LoseReplies--
	return true
}
