package platformserver

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/host"
	"poplarhook.example/standin/hostlistserver"
	"poplarhook.example/standin/storeserver"
)

const maxControlBytes = 64 << 10

// Server simulates the platform as one http.Handler.
type Server struct {
	store        *storeserver.Server
	hosts        *hostlistserver.Server
	handler      http.Handler
	controlMutex sync.Mutex
}

type (
	storeSettings = storeserver.Settings
	hostSettings  = hostlistserver.Settings
)

// controlSettings combines the settings of the store and the host list, as in the JSON of the control API.
type controlSettings struct {
	storeSettings
	hostSettings
}

type callCounts struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Watches       int64 `json:"watches"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// New returns a platform with an empty store and a list of the given hosts.
func New(hosts ...host.Host) *Server {
	s := &Server{store: storeserver.New(), hosts: hostlistserver.New(hosts...)}
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/standin/control", s.serveControl).Methods(http.MethodPost)
	router.HandleFunc("/standin/calls", s.serveCalls).Methods(http.MethodGet)
	router.HandleFunc("/standin/dump", s.serveDump).Methods(http.MethodGet)
	router.PathPrefix("/standin/hosts").Handler(s.hosts)
	router.Path("/v1/hosts").Handler(s.hosts)
	router.PathPrefix("/v1/").Handler(s.store)
	s.handler = router
	return s
}

// Store returns the object store.
func (s *Server) Store() *storeserver.Server {
	return s.store
}

// Hosts returns the host list.
func (s *Server) Hosts() *hostlistserver.Server {
	return s.hosts
}

// Close ends the requests that wait for a change; call it once.
func (s *Server) Close() {
	s.store.Close()
	s.hosts.Close()
}

// ServeHTTP serves the platform's API and the control API of the simulation.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	s.controlMutex.Lock()
	defer s.controlMutex.Unlock()
	updated := controlSettings{storeSettings: s.store.Settings(), hostSettings: s.hosts.Settings()}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&updated); err != nil {
		http.Error(w, "control: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.store.Change(func(s *storeserver.Settings) { *s = updated.storeSettings })
	s.hosts.Change(func(s *hostlistserver.Settings) { *s = updated.hostSettings })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) {
	var counts callCounts
	counts.Reads, counts.Writes, counts.Watches, counts.ReceivedBytes = s.store.Calls()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counts)
}

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	text, err := s.store.Dump()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
