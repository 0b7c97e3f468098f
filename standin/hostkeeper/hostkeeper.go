package hostkeeper

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

// Settings are the faults that the list shows.
type Settings struct {
	// HostListLagMS is how long a change stays hidden.
	HostListLagMS int `json:"host_list_lag_ms"`
	// HostListDown answers every reader with 503.
	HostListDown bool `json:"host_list_down"`
}

// Hostkeeper is a list of hosts; it is an http.Handler for /v1/hosts and the paths under /standin/hosts.
type Hostkeeper struct {
	handler http.Handler
	closed  chan struct{}

	mu       sync.Mutex
	settings Settings
	changed  chan struct{}
	hosts    map[string]host.Host
	version  int64
	shown    list
}

type list struct {
	Version int64       `json:"version"`
	Hosts   []host.Host `json:"hosts"`
}

// New returns a list of the given hosts.
func New(hosts ...host.Host) *Hostkeeper {
	k := &Hostkeeper{
		closed:  make(chan struct{}),
		changed: make(chan struct{}),
		hosts:   make(map[string]host.Host),
		version: 1,
	}
	for _, listed := range hosts {
		k.hosts[listed.ID] = listed
	}
	k.shown = k.current()
	k.handler = k.routes()
	return k
}

// Close ends the calls that wait; it is called once.
func (k *Hostkeeper) Close() {
	close(k.closed)
}

// Settings returns the faults that the list shows now.
func (k *Hostkeeper) Settings() Settings {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.settings
}

// Change changes the faults that the list shows; changes of hosts that are still hidden keep their lag.
func (k *Hostkeeper) Change(change func(*Settings)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.settings)
	k.broadcast()
}

// Put adds or replaces a host.
func (k *Hostkeeper) Put(added host.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts[added.ID] = added
	k.publish()
}

// Remove removes a host and reports whether it was listed.
func (k *Hostkeeper) Remove(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.hosts[id]; !ok {
		return false
	}
	delete(k.hosts, id)
	k.publish()
	return true
}

// ServeHTTP answers readers of the list and changes of it.
func (k *Hostkeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.handler.ServeHTTP(w, r)
}

func (k *Hostkeeper) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/hosts", k.serveList).Methods(http.MethodGet)
	router.HandleFunc("/standin/hosts", k.servePost).Methods(http.MethodPost)
	router.HandleFunc("/standin/hosts/{id}", k.serveDelete).Methods(http.MethodDelete)
	return router
}

// publish shows the list as it is now once the lag is over; the caller holds the lock.
func (k *Hostkeeper) publish() {
	k.version++
	published := k.current()
	lag := time.Duration(k.settings.HostListLagMS) * time.Millisecond
	if lag <= 0 {
		k.show(published)
		return
	}
	time.AfterFunc(lag, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.show(published)
	})
}

func (k *Hostkeeper) show(published list) {
	if published.Version <= k.shown.Version {
		return
	}
	k.shown = published
	k.broadcast()
}

func (k *Hostkeeper) broadcast() {
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *Hostkeeper) current() list {
	hosts := make([]host.Host, 0, len(k.hosts))
	for _, listed := range k.hosts {
		hosts = append(hosts, listed)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return list{Version: k.version, Hosts: hosts}
}

func (k *Hostkeeper) serveList(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		k.mu.Lock()
		down, shown, changed := k.settings.HostListDown, k.shown, k.changed
		k.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case shown.Version > after:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(shown)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		case <-k.closed:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (k *Hostkeeper) servePost(w http.ResponseWriter, r *http.Request) {
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
	k.Put(added)
	w.WriteHeader(http.StatusNoContent)
}

func (k *Hostkeeper) serveDelete(w http.ResponseWriter, r *http.Request) {
	if !k.Remove(mux.Vars(r)["id"]) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
