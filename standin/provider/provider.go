package provider

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"poplarhook.example/lib/host"
	"poplarhook.example/standin/hostkeeper"
	"poplarhook.example/standin/storekeeper"
)

const maxControlBytes = 64 << 10

// Provider is the platform as one http.Handler.
type Provider struct {
	store   *storekeeper.Storekeeper
	hosts   *hostkeeper.Hostkeeper
	handler http.Handler
	control sync.Mutex
}

type (
	storeSettings = storekeeper.Settings
	hostSettings  = hostkeeper.Settings
)

// settings join the settings of both parts as the control's JSON does.
type settings struct {
	storeSettings
	hostSettings
}

type calls struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Watches       int64 `json:"watches"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// New returns a platform with an empty store and the given hosts.
func New(hosts ...host.Host) *Provider {
	p := &Provider{store: storekeeper.New(), hosts: hostkeeper.New(hosts...)}
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc("/standin/control", p.serveControl).Methods(http.MethodPost)
	router.HandleFunc("/standin/calls", p.serveCalls).Methods(http.MethodGet)
	router.HandleFunc("/standin/dump", p.serveDump).Methods(http.MethodGet)
	router.PathPrefix("/standin/hosts").Handler(p.hosts)
	router.Path("/v1/hosts").Handler(p.hosts)
	router.PathPrefix("/v1/").Handler(p.store)
	p.handler = router
	return p
}

// Store returns the object store.
func (p *Provider) Store() *storekeeper.Storekeeper {
	return p.store
}

// Hosts returns the host list.
func (p *Provider) Hosts() *hostkeeper.Hostkeeper {
	return p.hosts
}

// Close ends the calls that wait; it is called once.
func (p *Provider) Close() {
	p.store.Close()
	p.hosts.Close()
}

// ServeHTTP answers the platform's calls and the stand-in's control.
func (p *Provider) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

func (p *Provider) serveControl(w http.ResponseWriter, r *http.Request) {
	p.control.Lock()
	defer p.control.Unlock()
	changed := settings{storeSettings: p.store.Settings(), hostSettings: p.hosts.Settings()}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&changed); err != nil {
		http.Error(w, "control: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.store.Change(func(s *storekeeper.Settings) { *s = changed.storeSettings })
	p.hosts.Change(func(s *hostkeeper.Settings) { *s = changed.hostSettings })
	w.WriteHeader(http.StatusNoContent)
}

func (p *Provider) serveCalls(w http.ResponseWriter, _ *http.Request) {
	var counted calls
	counted.Reads, counted.Writes, counted.Watches, counted.ReceivedBytes = p.store.Calls()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(counted)
}

func (p *Provider) serveDump(w http.ResponseWriter, _ *http.Request) {
	text, err := p.store.Dump()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
