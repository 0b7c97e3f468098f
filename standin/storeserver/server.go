package storeserver

import (
	"context"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"poplarhook.example/lib/object"
)

// maxValueBytes is the size of the largest value that the store accepts.
const maxValueBytes = 1 << 20

// Settings are the simulated faults of the store.
type Settings struct {
	// Down makes the store answer every call with status 503.
	Down bool `json:"down"`
	// Hang makes every call wait; a waiting write is applied when the hang ends, even if its caller has disconnected.
	Hang bool `json:"hang"`
	// DelayMS is the delay of each call in milliseconds; half of it passes before the call takes effect, half after.
	DelayMS int `json:"delay_ms"`
	// LoseReplies is the number of writes to come that are applied but not answered.
	LoseReplies int `json:"lose_replies"`
	// Stale makes readers and watchers see each object as it was before its last write.
	Stale bool `json:"stale"`
}

// Server serves an object store in memory; it is an http.Handler for the paths under /v1/objects and /v1/watch.
type Server struct {
	handler http.Handler
	closed  chan struct{}

	mu       sync.Mutex
	settings Settings
	changed  chan struct{}
	version  int64
	records  map[string]objectRecord
	counts   callCounts
	writes   []receivedWrite
}

// objectRecord holds the current state of an object and its state before the last write; version 0 stands for absent.
type objectRecord struct {
	current  object.Object
	previous object.Object
}

type callCounts struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Watches       int64 `json:"watches"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// New returns an empty store.
func New() *Server {
	s := &Server{
		closed:  make(chan struct{}),
		changed: make(chan struct{}),
		records: make(map[string]objectRecord),
	}
	s.handler = s.routes()
	return s
}

// Close ends the calls that hang or watch; call it once.
func (s *Server) Close() {
	close(s.closed)
}

// Settings returns the current settings.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Change changes the settings and wakes the calls that hang or watch an object.
func (s *Server) Change(change func(*Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.settings)
	s.broadcast()
}

// Calls returns how many reads, writes and watches were received, and the total size of the bodies in bytes.
func (s *Server) Calls() (reads, writes, watches, receivedBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Reads, s.counts.Writes, s.counts.Watches, s.counts.ReceivedBytes
}

// Put writes an object, regardless of the simulated faults, and returns its version.
func (s *Server) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyWrite(key, value)
}

// Get returns the newest object of the key, regardless of the simulated faults.
func (s *Server) Get(key string) (object.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.records[key].current
	return found, found.Version != 0
}

// broadcast wakes every call that hangs or watches an object; the caller holds the lock.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyWrite stores the value as the newest version and wakes waiting calls; the caller holds the lock.
func (s *Server) applyWrite(key string, value []byte) int64 {
	s.version++
	written := object.Object{Key: key, Version: s.version, Value: value}
	s.records[key] = objectRecord{current: written, previous: s.records[key].current}
	s.broadcast()
	return s.version
}

// putIfMet applies a conditional write and returns the new version, or 0 when the condition is not met.
func (s *Server) putIfMet(key string, value []byte, isMet writeCondition) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isMet(s.records[key].current.Version) {
		return 0
	}
	return s.applyWrite(key, value)
}

// removeIfMet applies a conditional delete and returns the HTTP status of the answer.
func (s *Server) removeIfMet(key string, isMet writeCondition) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.records[key].current
	if !isMet(current.Version) {
		return http.StatusPreconditionFailed
	}
	if current.Version == 0 {
		return http.StatusNotFound
	}
	s.version++
	s.records[key] = objectRecord{previous: current}
	s.broadcast()
	return http.StatusNoContent
}

// visibleObject returns the object as readers see it, and a channel that is closed at the next change.
func (s *Server) visibleObject(key string) (object.Object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.visibleVersion(s.records[key]), s.changed
}

// visibleVersion returns the state of an object as readers see it: the previous one if the store is stale.
func (s *Server) visibleVersion(r objectRecord) object.Object {
	if s.settings.Stale {
		return r.previous
	}
	return r.current
}

func (s *Server) listVisible(prefix string) []listedObject {
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := []listedObject{}
	for key, r := range s.records {
		found := s.visibleVersion(r)
		if found.Version != 0 && strings.HasPrefix(key, prefix) {
			listed = append(listed, listedObject{Key: key, Version: found.Version})
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Key < listed[j].Key })
	return listed
}

// admitCall waits while the store hangs. It returns false if the store is down or closed, or the context ends first.
func (s *Server) admitCall(ctx context.Context) bool {
	for {
		s.mu.Lock()
		settings, changed := s.settings, s.changed
		s.mu.Unlock()
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
		case <-s.closed:
			return false
		}
	}
}

// waitHalfDelay waits for half of the delay of a call.
func (s *Server) waitHalfDelay(ctx context.Context) {
	half := time.Duration(s.Settings().DelayMS) * time.Millisecond / 2
	if half <= 0 {
		return
	}
	timer := time.NewTimer(half)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.closed:
	}
}

// takeLostReply reports whether the reply to an applied write must be lost because LoseReplies is above zero, and then
// decrements LoseReplies.
func (s *Server) takeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settings.LoseReplies <= 0 {
		return false
	}
	s.settings.LoseReplies--
	return true
}
