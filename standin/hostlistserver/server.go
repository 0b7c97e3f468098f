package hostlistserver

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/host"
)

const maxHostBytes = 64 << 10

// Settings are the simulated faults of the host list.
type Settings struct {
	// HostListLagMS is the delay, in milliseconds, after which a change of the hosts is visible to readers.
	HostListLagMS int `json:"host_list_lag_ms"`
	// HostListDown makes the server answer every request for the host list with status 503.
	HostListDown bool `json:"host_list_down"`
}

// Server serves a list of hosts; it is an http.Handler for /v1/hosts and the paths under /standin/hosts.
type Server struct {
	handler http.Handler
	closed  chan struct{}

	mu          sync.Mutex
	settings    Settings
	changed     chan struct{}
	hosts       map[string]host.Host
	version     int64
	visibleList hostList
}

type hostList struct {
	Version int64       `json:"version"`
	Hosts   []host.Host `json:"hosts"`
}

// New returns a server of a host list that contains the given hosts.
func New(hosts ...host.Host) *Server {
	s := &Server{
		closed:  make(chan struct{}),
		changed: make(chan struct{}),
		hosts:   make(map[string]host.Host),
		version: 1,
	}
	for _, listed := range hosts {
		s.hosts[listed.ID] = listed
	}
	s.visibleList = s.currentList()
	s.handler = s.routes()
	return s
}

// Close ends the requests that wait for a change; call it once.
func (s *Server) Close() {
	close(s.closed)
}

// Settings returns the current settings.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Change changes the settings; host changes that are not visible yet keep the lag that they started with.
func (s *Server) Change(change func(*Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.settings)
	s.broadcast()
}

// Put adds a host to the list or replaces it there; readers see the change after the lag.
func (s *Server) Put(added host.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[added.ID] = added
	s.publish()
}

// Remove removes a host from the list, which readers see after the lag, and reports whether the list contained it.
func (s *Server) Remove(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.hosts[id]; !ok {
		return false
	}
	delete(s.hosts, id)
	s.publish()
	return true
}

// ServeHTTP serves requests to read or change the host list.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Server) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/hosts", s.serveList).Methods(http.MethodGet)
	router.HandleFunc("/standin/hosts", s.servePost).Methods(http.MethodPost)
	router.HandleFunc("/standin/hosts/{id}", s.serveDelete).Methods(http.MethodDelete)
	return router
}

// publish makes the current list visible to readers after the lag; the caller holds the lock.
func (s *Server) publish() {
	s.version++
	published := s.currentList()
	lag := time.Duration(s.settings.HostListLagMS) * time.Millisecond
	if lag <= 0 {
		s.makeVisible(published)
		return
	}
	time.AfterFunc(lag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.makeVisible(published)
	})
}

// makeVisible makes a list visible to readers, unless they see a newer one already; the caller holds the lock.
func (s *Server) makeVisible(published hostList) {
	if published.Version <= s.visibleList.Version {
		return
	}
	s.visibleList = published
	s.broadcast()
}

// broadcast wakes the requests that wait for a change; the caller holds the lock.
func (s *Server) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) currentList() hostList {
	hosts := make([]host.Host, 0, len(s.hosts))
	for _, listed := range s.hosts {
		hosts = append(hosts, listed)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hostList{Version: s.version, Hosts: hosts}
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		down, visible, changed := s.settings.HostListDown, s.visibleList, s.changed
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case visible.Version > after:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(visible)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		case <-s.closed:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (s *Server) servePost(w http.ResponseWriter, r *http.Request) {
	var added host.Host
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxHostBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&added); err != nil {
		http.Error(w, "host: "+err.Error(), http.StatusBadRequest)
		return
	}
	if added.ID == "" {
		http.Error(w, `host: id "" is not allowed`, http.StatusBadRequest)
		return
	}
	s.Put(added)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	if !s.Remove(mux.Vars(r)["id"]) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
