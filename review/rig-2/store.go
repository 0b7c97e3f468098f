package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is a stand-in of the platform's store: objects by kind and name, one revision counter, lists in pages, watches
// and conditional writes. It can be away and can come back from an older copy, with the next era.
type Store struct {
	mu       sync.Mutex
	changed  chan struct{}
	era      int64
	revision int64
	objects  map[string]map[string]object
	history  []event
	// lost is the revision up to which the history is gone.
	lost     int64
	away     bool
	conns    map[net.Conn]struct{}
	listener net.Listener
	record   *Record
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"`
}

type event struct {
	kind     string
	revision int64
	at       time.Time
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// Copy is what the store holds at one moment.
type Copy struct {
	at       time.Time
	revision int64
	objects  map[string]map[string]object
	history  []event
	lost     int64
}

const pageSize = 500

// NewStore starts a store on a free loopback port.
func NewStore(r *Record) *Store {
	s := &Store{changed: make(chan struct{}), era: 1, revision: 100, objects: map[string]map[string]object{}, conns: map[net.Conn]struct{}{}, record: r}
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	check(err)
	server := &http.Server{Handler: s, ConnState: s.trackConn}
	go func() { _ = server.Serve(s.listener) }()
	return s
}

// Address returns the address of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Door is a further address of the store, for machines that the store may turn away while it serves the others.
type Door struct {
	Address string
	refuses atomic.Bool
	mu      sync.Mutex
	calls   map[int]context.CancelFunc
	count   int
}

// Refuse makes the store turn away the machines that use the address, also those whose watches wait.
func (d *Door) Refuse(refuses bool) {
	d.refuses.Store(refuses)
	d.mu.Lock()
	defer d.mu.Unlock()
	if refuses {
		for _, cancel := range d.calls {
			cancel()
		}
	}
}

// NewDoor opens a further address of the store.
func (s *Store) NewDoor() *Door {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &Door{Address: listener.Addr().String(), calls: map[int]context.CancelFunc{}}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			d.mu.Lock()
			d.count++
			n := d.count
			d.calls[n] = cancel
			d.mu.Unlock()
			defer func() {
				d.mu.Lock()
				delete(d.calls, n)
				d.mu.Unlock()
			}()
			if d.refuses.Load() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.answer(w, http.StatusTooManyRequests, nil)
				return
			}
			s.ServeHTTP(w, r.WithContext(ctx))
		}))
	}()
	return d
}

func (s *Store) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		if s.away {
			c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// SetAway cuts all connections and refuses new ones while away is true.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	if away {
		for c := range s.conns {
			c.Close()
		}
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// TakeCopy returns a copy of what the store holds now.
func (s *Store) TakeCopy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{at: time.Now(), revision: s.revision, objects: cloneObjects(s.objects), history: slices.Clone(s.history), lost: s.lost}
}

// Restore makes the store hold the older copy and begins the next era.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects, s.history, s.lost = c.revision, cloneObjects(c.objects), slices.Clone(c.history), c.lost
	s.era++
	s.wake()
}

func cloneObjects(all map[string]map[string]object) map[string]map[string]object {
	cloned := map[string]map[string]object{}
	for kind, objects := range all {
		cloned[kind] = map[string]object{}
		for name, o := range objects {
			cloned[kind][name] = o
		}
	}
	return cloned
}

// Put writes an object as the operator or a server does. It reports false while the store is away.
func (s *Store) Put(kind, name string, spec any) bool {
	text, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.put(kind, name, object{Spec: text})
	return true
}

// PutRaw writes an object with the given bytes as its spec.
func (s *Store) PutRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, object{Spec: spec})
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *Store) put(kind, name string, o object) {
	s.revision++
	o.Metadata = metadata{Name: name, Revision: s.revision}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.append(event{kind: kind, revision: s.revision, at: time.Now(), Object: o})
}

func (s *Store) remove(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.append(event{kind: kind, revision: s.revision, at: time.Now(), Object: o, Removed: true})
}

func (s *Store) append(e event) {
	s.history = append(s.history, e)
	for len(s.history) > 0 && time.Since(s.history[0].at) > 20*time.Second {
		s.lost = s.history[0].revision
		s.history = s.history[1:]
	}
	s.wake()
}

// ServeHTTP serves the calls of the system.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, found := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(2 * time.Millisecond)
	kind, name, _ := strings.Cut(path, "/")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		if o, exists := s.objects[kind][name]; exists {
			s.answer(w, http.StatusOK, o)
		} else {
			s.answer(w, http.StatusNotFound, nil)
		}
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		s.answer(w, http.StatusOK, nil)
	default:
		s.write(w, r, kind, name)
	}
}

func (s *Store) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageSize
	s.answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "more": more, "current_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		if s.away {
			panic(http.ErrAbortHandler)
		}
		if after < s.lost || after > s.revision {
			s.answer(w, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		if len(events) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
		changed, ended := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			s.answer(w, http.StatusOK, map[string]any{"events": events, "current_rev": s.revision})
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	name, isStatus := strings.CutSuffix(name, "/status")
	known, exists := s.objects[kind][name]
	conflict := o.Metadata.Revision != 0 && o.Metadata.Revision != known.Metadata.Revision
	switch {
	case r.Method == http.MethodPost && exists, r.Method == http.MethodPut && exists && conflict:
		s.answer(w, http.StatusConflict, known)
		return
	case r.Method == http.MethodPut && !exists:
		s.answer(w, http.StatusNotFound, nil)
		return
	case isStatus:
		known.Status = o.Status
		s.put(kind, name, known)
	case string(known.Spec) == string(o.Spec):
		// A write that changes nothing does not raise the revision.
	default:
		s.put(kind, name, object{Spec: o.Spec, Status: known.Status})
	}
	s.record.Line("store: %s %s/%s, revision %d, era %d", r.Method, kind, name, s.revision, s.era)
	s.answer(w, http.StatusOK, s.objects[kind][name])
}
