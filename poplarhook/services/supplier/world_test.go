package supplier_test

import (
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

// bound is within what time a change must be known everywhere, by the shortest bound of the known deployments.
const bound = 2 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"), goleak.IgnoreTopFunction("internal/poll.runtime_pollWait"))
}

// entryHost is one supplier with its server.
type entryHost struct {
	id     string
	stop   func()
	server *httptest.Server
	// way is the host's own way to the store.
	way *httptest.Server
	// supplier is what the host runs.
	supplier *supplier.Supplier

	mu       sync.Mutex
	refused  bool
	silent   bool
	versions []int64
	zonesOut int
	items    map[string]host.Host
	heard    bool
	graces   int
	// events counts what the supplier counts, and last is the last of them.
	events map[string]int
	last   string
}

func (e *entryHost) count(event string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events[event]++
	e.last = event
}

func (e *entryHost) event(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events[name]
}

func (e *entryHost) followsStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last == "source_store"
}

func (e *entryHost) version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.versions) == 0 {
		return 0
	}
	return e.versions[len(e.versions)-1]
}

// refuse lets the store turn the host away, open watches included, or serve it again.
func (e *entryHost) refuse(refused bool) {
	e.mu.Lock()
	e.refused = refused
	e.mu.Unlock()
	if refused {
		e.way.CloseClientConnections()
	}
}

// silence keeps what the host tells others from them.
func (e *entryHost) silence() {
	e.mu.Lock()
	e.silent = true
	e.mu.Unlock()
}

// quietWriter writes nothing while its host is silent.
type quietWriter struct {
	http.ResponseWriter
	host *entryHost
}

func (q quietWriter) Unwrap() http.ResponseWriter { return q.ResponseWriter }

func (q quietWriter) Write(b []byte) (int, error) {
	q.host.mu.Lock()
	silent := q.host.silent
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

func (e *entryHost) isHeard() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard
}

// world is a store and entry hosts in one region.
type world struct {
	t     *testing.T
	store *imitator.Store
	hosts []*entryHost
	// options are those of each supplier.
	options []supplier.Option
}

func newWorld(t *testing.T, hosts int, options ...supplier.Option) *world {
	t.Helper()
	w := &world{t: t, store: imitator.NewStore(), options: options}
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

func (w *world) configure(version int64) {
	w.store.PutConfiguration(version, []class.Class{{Name: "a", Hosts: []string{"a.example"}, PathPrefix: "/a/", Service: "s", LatencyTargetMS: 100, DeadlineMS: 1000}}, nil)
}

// start starts an entry host with a way of its own to the store.
func (w *world) start(id string, seeds ...string) *entryHost {
	w.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(w.t, err, qt.IsNil)
	e := &entryHost{id: id, events: make(map[string]int)}
	e.way = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if e.isRefused() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.store.ServeHTTP(rw, r)
	}))
	calls := client.New(e.way.Listener.Addr().String())
	decode := decoder.New(func(string) (string, bool) { return "region", true })
	skipped := func(string, error) {}
	s := supplier.New(host.Host{ID: id, Region: "region", PeerAddress: listener.Addr().String()}, supplier.Store{
		Configurations: feed.Configurations(calls, decode, skipped),
		Endpoints:      feed.Endpoints(calls, decode, time.Now, skipped),
		ZonesOut:       feed.ZonesOut(calls),
		Members:        feed.Members(calls, skipped),
		Register:       feed.Register(calls),
		Forgotten:      feed.ErrForgotten,
	}, e.hooks(), append([]supplier.Option{supplier.WithSeeds(seeds...), supplier.WithLapseGrace(1900 * time.Millisecond), supplier.WithCounter(e.count)}, w.options...)...)
	e.supplier = s
	router := http.NewServeMux()
	router.HandleFunc(subscriber.KnownPath, s.Broadcaster().ServeKnown)
	router.HandleFunc(subscriber.Path, func(rw http.ResponseWriter, r *http.Request) {
		s.Broadcaster().ServeHTTP(quietWriter{ResponseWriter: rw, host: e}, r)
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
		e.way.CloseClientConnections()
		e.way.Close()
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
			}
		},
		Endpoints: func(v view.View[host.Host]) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.items = v.Items
		},
		ZonesOut: func(v view.View[json.RawMessage]) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.zonesOut = len(v.Items)
		},
		Members: func(view.View[host.Host]) {},
		Heard: func(heard bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.heard = heard
		},
		Grace: func(time.Duration) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.graces++
		},
	}
}

// all waits until every host that runs meets the condition.
func (w *world) all(within time.Duration, what string, met func(e *entryHost) bool) {
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

// settle waits until one host follows the store and all others read from it.
func (w *world) settle() {
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

// knows reports whether the host believes in the endpoint.
func (e *entryHost) knows(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.items[id]
	return known
}

func (e *entryHost) hadGrace() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.graces > 0
}

func hasVersion(version int64) func(e *entryHost) bool {
	return func(e *entryHost) bool { return e.version() == version }
}

// drop stops the host and leaves it out.
func (w *world) drop(e *entryHost) {
	e.stop()
	for i, one := range w.hosts {
		if one == e {
			w.hosts = append(w.hosts[:i:i], w.hosts[i+1:]...)
			return
		}
	}
}

// newSettled starts hosts and waits until one follows the store and all others read from it.
func newSettled(t *testing.T, hosts int) *world {
	t.Helper()
	w := newWorld(t, hosts)
	w.all(10*time.Second, "hosts are up to date", (*entryHost).isHeard)
	w.settle()
	return w
}

// changeFiveTimes changes the configuration, sees that each change is known in time, and returns the calls that it took.
func (w *world) changeFiveTimes() int {
	w.t.Helper()
	before := w.store.Calls("watch") + w.store.Calls("list")
	for version := int64(2); version <= 6; version++ {
		w.configure(version)
		w.all(bound, "a changed configuration", hasVersion(version))
	}
	return w.store.Calls("watch") + w.store.Calls("list") - before
}

// loseOneByOne stops one host after the other but the last, and sees that a change after each is known in time.
func (w *world) loseOneByOne() {
	w.t.Helper()
	version := int64(1)
	for len(w.hosts) > 1 {
		w.drop(w.hosts[0])
		version++
		w.configure(version)
		w.all(bound, "a configuration after a host has died", hasVersion(version))
	}
}

// playOutage takes the store away for long enough that entries lapse, and changes the configuration meanwhile.
func (w *world) playOutage(version int64) {
	w.t.Helper()
	w.store.SetDown(true)
	w.all(5*time.Second, "the loss of the store is noticed", func(e *entryHost) bool { return !e.isHeard() })
	downAt := time.Now()
	awaiter.New(5*time.Millisecond).Await(w.t, 5*time.Second, "the outage is long enough for entries to lapse", func() bool {
		return time.Since(downAt) > 600*time.Millisecond
	})
	w.configure(version)
	w.store.SetDown(false)
}
