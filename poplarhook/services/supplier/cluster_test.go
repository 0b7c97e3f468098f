package supplier_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/platform/client"
	"poplarhook.example/platform/decoder"
	"poplarhook.example/platform/feed"
	"poplarhook.example/platform/imitator"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/subscriber"
	"poplarhook.example/poplarhook/services/supplier"
)

// bound is the time within which every host must learn of a change: the shortest bound of the known deployments.
const bound = 2 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

// entryHost runs one supplier and the server for its readers.
type entryHost struct {
	id     string
	stop   func()
	server *httptest.Server
	// storeProxy is the server through which only this host reaches the store.
	storeProxy *httptest.Server
	supplier   *supplier.Supplier

	mu          sync.Mutex
	refused     bool
	silent      bool
	watchesHang bool
	versions    []int64
	zonesOut    int
	endpoints   map[string]host.Host
	// configuration is the newest one; differences counts the frames with a difference that the host has sent.
	configuration snapshot.Snapshot
	differences   int
	upToDate      bool
	gracePeriods  int
	restorations  int
	// events counts the events that the supplier has reported, by name; lastEvent is the name of the latest one.
	events    map[string]int
	lastEvent string
}

func (e *entryHost) count(event string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events[event]++
	e.lastEvent = event
}

func (e *entryHost) eventCount(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events[name]
}

func (e *entryHost) followsStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastEvent == "source_store"
}

func (e *entryHost) version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.versions) == 0 {
		return 0
	}
	return e.versions[len(e.versions)-1]
}

// setRefused makes the store refuse the host's requests, which also ends its open watches, or serve them again.
func (e *entryHost) setRefused(refused bool) {
	e.mu.Lock()
	e.refused = refused
	e.mu.Unlock()
	if refused {
		e.storeProxy.CloseClientConnections()
	}
}

// hangWatches makes the host's watches of the store hang from now on, also the open ones.
func (e *entryHost) hangWatches() {
	e.mu.Lock()
	e.watchesHang = true
	e.mu.Unlock()
	e.storeProxy.CloseClientConnections()
}

// isHanging reports whether the call gets no answer.
func (e *entryHost) isHanging(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.watchesHang && r.URL.Query().Has("watch")
}

// silence discards everything that the host sends to its readers from now on.
func (e *entryHost) silence() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
}

// silenceableWriter discards all writes while its host is silent.
type silenceableWriter struct {
	http.ResponseWriter
	host *entryHost
}

func (q silenceableWriter) Unwrap() http.ResponseWriter { return q.ResponseWriter }

func (q silenceableWriter) Write(b []byte) (int, error) {
	q.host.mu.Lock()
	silent := q.host.silent
	if bytes.Contains(b, []byte(`"difference":`)) {
		q.host.differences++
	}
	q.host.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return q.ResponseWriter.Write(b)
}

func (e *entryHost) isRefused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

func (e *entryHost) isUpToDate() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.upToDate
}

// cluster is a store and entry hosts in one region.
type cluster struct {
	// refuseNew makes the store refuse the calls of hosts that start from now on.
	refuseNew bool
	t         *testing.T
	store     *imitator.Store
	hosts     []*entryHost
	// options are passed to each supplier.
	options []supplier.Option
}

func newCluster(t *testing.T, hosts int, options ...supplier.Option) *cluster {
	t.Helper()
	w := &cluster{t: t, store: imitator.NewStore(), options: options}
	t.Cleanup(func() {
		for _, e := range w.hosts {
			e.stop()
		}
	})
	w.configure(1)
	for i := range hosts {
		w.start(fmt.Sprintf("host-%d", i))
	}
	return w
}

func (w *cluster) configure(version int64) {
	w.store.PutConfiguration(version, []class.Class{{Name: "a", Hosts: []string{"a.example"}, PathPrefix: "/a/", Service: "s", LatencyTargetMS: 100, DeadlineMS: 1000}}, nil)
}

// start starts an entry host with its own proxy to the store.
func (w *cluster) start(id string, seeds ...string) *entryHost {
	w.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(w.t, err, qt.IsNil)
	e := &entryHost{id: id, events: make(map[string]int), refused: w.refuseNew}
	e.storeProxy = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if e.isRefused() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if e.isHanging(r) {
			<-r.Context().Done()
			return
		}
		w.store.ServeHTTP(rw, r)
	}))
	calls := client.New(e.storeProxy.Listener.Addr().String())
	decode := decoder.New(func(string) (string, bool) { return "region", true })
	skipped := func(string, error) {}
	s := supplier.New(host.Host{ID: id, Region: "region", PeerAddress: listener.Addr().String()}, supplier.Store{
		Configurations: feed.Configurations(calls, decode, skipped),
		Endpoints:      feed.Endpoints(calls, decode, time.Now, skipped),
		ZonesOut:       feed.ZonesOut(calls),
		Members:        feed.Members(calls, skipped),
		Register:       feed.Register(calls),
		HistoryGone:    feed.ErrHistoryGone,
		IsRestored:     feed.IsRestored,
	}, e.hooks(), append([]supplier.Option{supplier.WithSeeds(seeds...), supplier.WithGracePeriod(1900 * time.Millisecond), supplier.WithCounter(e.count)}, w.options...)...)
	e.supplier = s
	router := http.NewServeMux()
	router.HandleFunc(subscriber.FullViewPath, s.Broadcaster().ServeFullView)
	router.HandleFunc(subscriber.StreamPath, func(rw http.ResponseWriter, r *http.Request) {
		s.Broadcaster().ServeHTTP(silenceableWriter{ResponseWriter: rw, host: e}, r)
	})
	e.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: router}}
	e.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := s.Run(ctx)
	e.stop = sync.OnceFunc(func() {
		cancel()
		e.server.CloseClientConnections()
		e.server.Close()
		qt.Check(w.t, <-done, qt.IsNil)
		e.storeProxy.CloseClientConnections()
		e.storeProxy.Close()
	})
	w.hosts = append(w.hosts, e)
	return e
}

func (e *entryHost) hooks() supplier.Hooks {
	return supplier.Hooks{
		Configuration: func(v view.View[snapshot.Snapshot]) {
			e.mu.Lock()
			defer e.mu.Unlock()
			for _, one := range v.Items {
				e.versions = append(e.versions, one.Revision)
				e.configuration = one
			}
		},
		Endpoints: func(v view.View[host.Host]) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.endpoints = v.Items
		},
		ZonesOut: func(v view.View[json.RawMessage]) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.zonesOut = len(v.Items)
		},
		Members: func(view.View[host.Host]) {},
		UpToDate: func(upToDate bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.upToDate = upToDate
		},
		Restored: func(time.Duration) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.restorations++
		},
		GracePeriod: func(time.Duration) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.gracePeriods++
		},
	}
}

// awaitAll waits until every running host meets the condition.
func (w *cluster) awaitAll(within time.Duration, what string, met func(e *entryHost) bool) {
	w.t.Helper()
	awaiter.New(5*time.Millisecond).Await(w.t, within, what, func() bool {
		for _, e := range w.hosts {
			if !met(e) {
				return false
			}
		}
		return true
	})
}

// awaitSingleSource waits until one host follows the store and all others read from it.
func (w *cluster) awaitSingleSource() {
	w.t.Helper()
	awaiter.New(5*time.Millisecond).Await(w.t, 10*time.Second, "one host follows the store for all", func() bool {
		for _, e := range w.hosts {
			if e.supplier.Broadcaster().Readers() == len(w.hosts)-1 {
				return true
			}
		}
		return false
	})
}

// knows reports whether the endpoint is in the host's view.
func (e *entryHost) knows(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.endpoints[id]
	return known
}

func (e *entryHost) hadGracePeriod() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gracePeriods > 0
}

// wasRestored reports whether the host has noticed exactly one restoration of the store.
func (e *entryHost) wasRestored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restorations == 1
}

// lowestVersionAfter returns the lowest version that the host received after the given one if it is lower, else zero.
func (e *entryHost) lowestVersionAfter(version int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	var lowest int64
	reached := false
	for _, v := range e.versions {
		reached = reached || v >= version
		if reached && v < version && (lowest == 0 || v < lowest) {
			lowest = v
		}
	}
	return lowest
}

func hasVersion(version int64) func(e *entryHost) bool {
	return func(e *entryHost) bool { return e.version() == version }
}

// remove stops the host and removes it from the list of hosts.
func (w *cluster) remove(e *entryHost) {
	e.stop()
	for i, one := range w.hosts {
		if one == e {
			w.hosts = append(w.hosts[:i:i], w.hosts[i+1:]...)
			return
		}
	}
}

// newSingleSource starts hosts and waits until one follows the store and all others read from it.
func newSingleSource(t *testing.T, hosts int) *cluster {
	t.Helper()
	w := newCluster(t, hosts)
	w.awaitAll(10*time.Second, "hosts are up to date", (*entryHost).isUpToDate)
	w.awaitSingleSource()
	return w
}

// changeFiveTimes changes the configuration five times, checks that each change is known in time, and returns the
// number of calls to the store.
func (w *cluster) changeFiveTimes() int {
	w.t.Helper()
	before := w.store.Calls("watch") + w.store.Calls("list")
	for version := int64(2); version <= 6; version++ {
		w.configure(version)
		w.awaitAll(bound, "a changed configuration", hasVersion(version))
	}
	return w.store.Calls("watch") + w.store.Calls("list") - before
}

// stopOneByOne stops all hosts but the last one after the other, and checks that a change after each stop is known in
// time.
func (w *cluster) stopOneByOne() {
	w.t.Helper()
	version := int64(1)
	for len(w.hosts) > 1 {
		w.remove(w.hosts[0])
		version++
		w.configure(version)
		w.awaitAll(bound, "a configuration after a host has stopped", hasVersion(version))
	}
}

// simulateOutage stops the store for long enough that entries expire, and changes the configuration meanwhile.
func (w *cluster) simulateOutage(version int64) {
	w.t.Helper()
	w.store.SetDown(true)
	w.awaitAll(5*time.Second, "the loss of the store is noticed", func(e *entryHost) bool { return !e.isUpToDate() })
	downAt := time.Now()
	awaiter.New(5*time.Millisecond).Await(w.t, 5*time.Second, "the outage is long enough for entries to expire", func() bool {
		return time.Since(downAt) > 600*time.Millisecond
	})
	w.configure(version)
	w.store.SetDown(false)
}
