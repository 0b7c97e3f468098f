package supervisor

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/standin/account"
	"poplarhook.example/standin/responder"
)

// Supervisor runs several endpoints; it is the http.Handler of the control API that they share.
//
// The query parameter id of a control request selects one endpoint; without it the request applies to all endpoints.
type Supervisor struct {
	endpoints []*responder.Responder
	handler   http.Handler
}

// New returns a supervisor of the given endpoints.
func New(endpoints ...*responder.Responder) *Supervisor {
	s := &Supervisor{endpoints: endpoints}
	router := mux.NewRouter()
	router.HandleFunc("/standin/control", s.serveControl).Methods(http.MethodPost)
	router.HandleFunc("/standin/executions", s.serveExecutions).Methods(http.MethodGet)
	router.HandleFunc("/standin/received", s.serveReceived).Methods(http.MethodGet)
	router.HandleFunc("/standin/hosts", s.serveHosts).Methods(http.MethodGet)
	s.handler = router
	return s
}

// Start starts all endpoints, which run until the context ends. The channel receives the first error, or nil,
// once all endpoints have ended.
func (s *Supervisor) Start(ctx context.Context) (<-chan error, error) {
	ctx, cancel := context.WithCancel(ctx)
	ends := make([]<-chan error, 0, len(s.endpoints))
	for _, endpoint := range s.endpoints {
		end, err := endpoint.Start(ctx)
		if err != nil {
			cancel()
			return nil, errors.Wrap(err, "start")
		}
		ends = append(ends, end)
	}
	done := make(chan error, 1)
	go func() {
		defer cancel()
		var first error
		for _, end := range ends {
			if err := <-end; err != nil && first == nil {
				first = err
				cancel()
			}
		}
		done <- first
	}()
	return done, nil
}

// AnnounceLeaving makes every endpoint state that it is leaving.
func (s *Supervisor) AnnounceLeaving() {
	for _, endpoint := range s.endpoints {
		endpoint.Change(func(settings *responder.Settings) { settings.Leaving = true })
	}
}

// Hosts returns the hosts that the endpoints simulate, with their actual addresses and incarnations.
func (s *Supervisor) Hosts() []host.Host {
	hosts := make([]host.Host, 0, len(s.endpoints))
	for _, endpoint := range s.endpoints {
		hosts = append(hosts, endpoint.Host())
	}
	return hosts
}

// Account returns the merged account of all endpoints.
func (s *Supervisor) Account() account.Account {
	return mergeAccounts(s.endpoints)
}

// ServeHTTP serves the control API.
func (s *Supervisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(w, r)
}

func (s *Supervisor) serveControl(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	chosen, ok := s.selectEndpoints(w, r)
	if !ok {
		return
	}
	for _, endpoint := range chosen {
		if err := endpoint.Control(body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Supervisor) serveExecutions(w http.ResponseWriter, r *http.Request) {
	chosen, ok := s.selectEndpoints(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(mergeAccounts(chosen))
}

func (s *Supervisor) serveReceived(w http.ResponseWriter, r *http.Request) {
	chosen, ok := s.selectEndpoints(w, r)
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	for _, endpoint := range chosen {
		_, _ = w.Write(endpoint.Received())
	}
}

func (s *Supervisor) serveHosts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Hosts())
}

// selectEndpoints returns the endpoints that a control request selects by its parameter id, or answers with status 404
// and returns false.
func (s *Supervisor) selectEndpoints(w http.ResponseWriter, r *http.Request) ([]*responder.Responder, bool) {
	id := r.URL.Query().Get("id")
	if id == "" {
		return s.endpoints, true
	}
	for _, endpoint := range s.endpoints {
		if endpoint.Host().ID == id {
			return []*responder.Responder{endpoint}, true
		}
	}
	http.Error(w, "id "+id+": no such endpoint", http.StatusNotFound)
	return nil, false
}

func mergeAccounts(endpoints []*responder.Responder) account.Account {
	sum := account.Account{}
	for _, endpoint := range endpoints {
		sum = sum.Merge(endpoint.Account())
	}
	return sum
}
