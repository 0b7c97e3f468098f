package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata map[string]any  `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

// change is one event of the history.
type change struct {
	kind     string
	revision int64
	event    map[string]any
}

// store is a stand-in of the platform's store: objects by kind and name, one revision counter, watches that wait.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 10, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as the operator and the servers do.
func (s *store) put(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, text, nil)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.record(kind, map[string]any{"object": o, "removed": true})
}

// write needs the lock. A nil text leaves that part as it is.
func (s *store) write(kind, name string, spec, status json.RawMessage) int64 {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	before, exists := s.objects[kind][name]
	o := object{Spec: before.Spec, Status: before.Status}
	if spec != nil {
		o.Spec = spec
	}
	if status != nil {
		o.Status = status
	}
	if exists && string(o.Spec) == string(before.Spec) && string(o.Status) == string(before.Status) {
		return s.revision
	}
	s.revision++
	created := s.revision
	if exists {
		created, _ = before.Metadata["created"].(int64)
	}
	o.Metadata = map[string]any{"name": name, "revision": s.revision, "created": created, "finalizers": []string{}, "deleting": false}
	s.objects[kind][name] = o
	s.record(kind, map[string]any{"object": o, "removed": false})
	return s.revision
}

func (s *store) record(kind string, event map[string]any) {
	s.history = append(s.history, change{kind: kind, revision: s.revision, event: event})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the store's page.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.serveList(w, parts[0])
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodDelete && len(parts) == 2:
		s.remove(parts[0], parts[1])
		reply(w, http.StatusOK, map[string]any{})
	default:
		s.serveWrite(w, r, parts)
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, parts []string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, _ := o.Metadata["name"].(string)
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before, exists := s.objects[parts[0]][name]
	if r.Method == http.MethodPost && exists {
		reply(w, http.StatusConflict, before)
		return
	}
	if r.Method == http.MethodPut && !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if expected, given := o.Metadata["revision"].(float64); given && expected > 0 {
		if held, _ := before.Metadata["revision"].(int64); held != int64(expected) {
			reply(w, http.StatusConflict, before)
			return
		}
	}
	if len(parts) == 3 {
		s.write(parts[0], name, nil, o.Status)
	} else {
		s.write(parts[0], name, o.Spec, nil)
	}
	reply(w, http.StatusOK, s.objects[parts[0]][name])
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make([]object, 0, len(s.objects[kind]))
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "current_rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events, revision, changed := s.eventsSince(kind, from), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) eventsSince(kind string, from int64) []map[string]any {
	events := []map[string]any{}
	for _, c := range s.history {
		if c.kind == kind && c.revision > from {
			events = append(events, c.event)
		}
	}
	return events
}

func reply(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
