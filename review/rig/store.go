package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	objects  map[string]map[string]object
	history  []event
	address  string
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision int64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// storeAnswerTime is how long the store takes for an answer, as in the site file.
const storeAnswerTime = 4 * time.Millisecond

func startStore() (*store, error) {
	s := &store{changed: make(chan struct{}), revision: 1, objects: make(map[string]map[string]object)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object as the operator or a server does, and returns after the store has confirmed it.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// write stores an object; the caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !exists {
		o = object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.objects[kind][name] = o
	s.publish(event{kind: kind, revision: s.revision, Object: o})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.publish(event{kind: kind, revision: s.revision, Object: o, Removed: true})
}

// publish adds an event and wakes the watches; the caller holds the lock.
func (s *store) publish(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			answer(w, http.StatusNotFound, map[string]any{"error": "no such object"})
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	default:
		answer(w, http.StatusMethodNotAllowed, map[string]any{"error": "method"})
	}
}

const pageSize = 500

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageSize
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "more": more, "current_rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, known)
	case r.Method == http.MethodPut && !exists:
		answer(w, http.StatusNotFound, map[string]any{"error": "no such object"})
	default:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// route is one route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeoutMS, targetMS, priority     int
	maxAttempts                       int
	regions                           []string
}

// putConfiguration writes a configuration as the operator does.
func (s *store) putConfiguration(version int, routes []route, services []string, coldPerSecond float64, maxBody int) {
	var rows, declared [][]any
	for _, r := range routes {
		rows = append(rows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMS, r.targetMS, r.priority, r.service, r.maxAttempts, r.regions, nil})
	}
	for _, name := range services {
		declared = append(declared, []any{name, "/health", 220, "h1", false, 3.0, coldPerSecond})
	}
	s.put("config", "main", map[string]any{
		"version": "r" + strconv.Itoa(version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "service", "max_attempts", "allowed_regions", "traffic_split"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "warmup_s", "cold_per_s"},
			"rows":    declared,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}
