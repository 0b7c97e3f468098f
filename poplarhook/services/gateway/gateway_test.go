package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/class"
	"poplarhook.example/lib/deployment"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/service"
	"poplarhook.example/platform/client"
	"poplarhook.example/platform/decoder"
	"poplarhook.example/platform/dialect"
	"poplarhook.example/platform/feed"
	"poplarhook.example/platform/imitator"
	"poplarhook.example/poplarhook/models/belief"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/services/gateway"
	"poplarhook.example/poplarhook/services/supplier"
)

// world is a gateway with its store and endpoints, all on loopback.
type world struct {
	t         *testing.T
	store     *imitator.Store
	endpoints []*imitator.Endpoint
	address   string
	ready     string
	admin     string
	stop      context.CancelFunc
	done      <-chan error
}

const (
	zone   = "zone-1"
	region = "region-1"
)

// classes are a lookup that may be repeated and an order that may not.
func classes() []class.Class {
	return []class.Class{
		{Name: "lookup", Hosts: []string{"shop.example"}, PathPrefix: "/lookup/", Service: "stock", Execution: class.Idempotent, LatencyTargetMS: 300, DeadlineMS: 1000, MaxSends: 3},
		{Name: "order", Hosts: []string{"shop.example"}, PathPrefix: "/order/", Service: "stock", Execution: class.OnceOnly, LatencyTargetMS: 300, DeadlineMS: 1000, MaxSends: 3},
		{Name: "deep", Hosts: []string{"shop.example"}, PathPrefix: "/lookup/deep/", Service: "nowhere", Execution: class.Idempotent, LatencyTargetMS: 300, DeadlineMS: 1000, MaxSends: 3},
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return l
}

// newWorld starts a gateway before it has a configuration, unless the store is filled with one.
func newWorld(t *testing.T, endpoints int, fill ...func(s *imitator.Store)) *world {
	t.Helper()
	w := &world{t: t, store: imitator.NewStore()}
	for _, one := range fill {
		one(w.store)
	}
	store := httptest.NewServer(w.store)
	for i := range endpoints {
		e := imitator.NewEndpoint(fmt.Sprintf("endpoint-%d", i))
		w.endpoints = append(w.endpoints, e)
		w.list(e, host.StateLive)
	}
	listeners := gateway.Listeners{Callers: listen(t), Ready: listen(t), Peers: listen(t), Admin: listen(t)}
	w.address, w.ready, w.admin = listeners.Callers.Addr().String(), listeners.Ready.Addr().String(), listeners.Admin.Addr().String()
	d := deployment.Deployment{
		HostID: "entry-1", Region: region, AvailabilityZone: zone, Address: "127.0.0.1", AdminPorts: []int{1, 2}, HistoryS: 20,
		Bounds: deployment.Bounds{ConfigurationMS: 2000, LeavingMS: 2000, ZoneOutMS: 5000, StopS: 6, RetryShare: 0.2, RetrySlack: 58, RetryWindowS: 10, ColdSlack: 5},
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := gateway.New(ctx, d, listeners, newPlatform(store.Listener.Addr().String()), meter.New("test"), zap.NewNop(), time.Now)
	w.stop, w.done = cancel, g.Run(ctx)
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-w.done, qt.IsNil)
		for _, e := range w.endpoints {
			e.Close()
		}
		store.CloseClientConnections()
		store.Close()
	})
	return w
}

func newPlatform(address string) gateway.Platform {
	calls := client.New(address)
	decode := decoder.New(func(string) (string, bool) { return region, true })
	skipped := func(string, error) {}
	return gateway.Platform{Dialect: dialect.New(), Store: supplier.Store{
		Configurations: feed.Configurations(calls, decode, skipped),
		Endpoints:      feed.Endpoints(calls, decode, time.Now, skipped),
		ZonesOut:       feed.ZonesOut(calls),
		Members:        feed.Members(calls, skipped),
		Register:       feed.Register(calls),
		Forgotten:      feed.ErrForgotten,
	}}
}

func (w *world) list(e *imitator.Endpoint, state string) {
	w.store.PutEndpoint(host.Host{ID: e.ID, Service: "stock", Address: e.Address(), AvailabilityZone: zone, Slots: 2, State: state})
}

// configured waits until the gateway is ready with the configuration.
func configured(t *testing.T, endpoints int) *world {
	t.Helper()
	w := newWorld(t, endpoints)
	w.store.PutConfiguration(2, classes(), []service.Service{{Name: "stock", HealthPath: "/health", Connections: 100, ColdPerSecond: 5}})
	w.await("the gateway is ready", w.isReady)
	return w
}

func (w *world) await(what string, condition func() bool) {
	w.t.Helper()
	awaiter.New(5*time.Millisecond).Await(w.t, 10*time.Second, what, condition)
}

func (w *world) isReady() bool {
	response, err := http.Get("http://" + w.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// dump returns what the gateway says that it knows.
func (w *world) dump() belief.Belief {
	w.t.Helper()
	response, err := http.Get("http://" + w.admin + gateway.DumpPath)
	qt.Assert(w.t, err, qt.IsNil)
	defer response.Body.Close()
	var known belief.Belief
	qt.Assert(w.t, json.NewDecoder(response.Body).Decode(&known), qt.IsNil)
	return known
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	header http.Header
	err    error
}

// send sends one request and reads its answer whole.
func (w *world) send(method, path, id, body string) reply {
	w.t.Helper()
	request, err := http.NewRequest(method, "http://"+w.address+path, strings.NewReader(body))
	qt.Assert(w.t, err, qt.IsNil)
	request.Host = "shop.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "900")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(text), header: response.Header, err: err}
}

// runs returns every run of the request at any endpoint.
func (w *world) runs(id string) []imitator.Run {
	var all []imitator.Run
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.RequestID == id {
				all = append(all, r)
			}
		}
	}
	return all
}

func (w *world) trouble(work time.Duration, trouble imitator.Trouble) {
	for _, e := range w.endpoints {
		e.Set(work, trouble)
	}
}

func TestRequestsPassUnchanged(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 2)
	got := w.send(http.MethodPut, "/order/a%20b/?x=1&y", "r1", "the body")
	c.Assert(got.err, qt.IsNil)
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(got.body, qt.Equals, "the server's bytes")
	c.Assert(got.header.Get("Response-Signature"), qt.Contains, "signed-endpoint-")
	c.Assert(got.header.Get("Request-Id"), qt.Equals, "r1")
	runs := w.runs("r1")
	c.Assert(runs, qt.HasLen, 1)
	c.Assert([]string{runs[0].Method, runs[0].Path, runs[0].Body}, qt.DeepEquals, []string{"PUT", "/order/a%20b/?x=1&y", "the body"})
	c.Assert(runs[0].Header.Get("Expect-Instance"), qt.Contains, "endpoint-")
	c.Assert(runs[0].Header.Get("Deadline-Ms") <= "900", qt.IsTrue)
}

func TestTheDumpTellsWhatTheHostKnows(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 2)
	w.store.TakeZoneOut("zone-9")
	c.Assert(w.send(http.MethodGet, "/lookup/1", "r1", "").status, qt.Equals, 200)
	var known belief.Belief
	w.await("the zone that is out is told", func() bool {
		known = w.dump()
		return len(known.ZonesOut) == 1
	})
	c.Assert(known.Version, qt.Equals, int64(2))
	c.Assert(known.Heard && known.Ready, qt.IsTrue)
	c.Assert(known.Endpoints, qt.HasLen, 2)
	c.Assert(known.Endpoints[0].ReportedAt.IsZero(), qt.IsFalse)
	metrics, err := http.Get("http://" + w.admin + "/metrics")
	c.Assert(err, qt.IsNil)
	defer metrics.Body.Close()
	text, err := io.ReadAll(metrics.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, "test_looks")
}

func TestAHostWithoutConfigurationRefusesAsNotRun(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := newWorld(t, 1)
	c.Assert(w.isReady(), qt.IsFalse)
	got := w.send(http.MethodGet, "/lookup/1", "r1", "")
	c.Assert(got.status, qt.Equals, 503)
	c.Assert(got.header.Get("Retry-After"), qt.Equals, "0.200")
	c.Assert(got.header.Get("Response-Signature"), qt.Equals, "")
}

// All hosts were lost at once and start again, the source of the region last, while callers send.
func TestARequestThatComesBeforeTheConfigurationIsAnswered(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, func(s *imitator.Store) {
		s.Put(feed.KindMembers, "late", host.Host{ID: "late", Region: region, PeerAddress: "127.0.0.1:1", Capacity: 9})
		s.PutConfiguration(2, classes(), []service.Service{{Name: "stock", HealthPath: "/health", Connections: 100, ColdPerSecond: 5}})
	})
	got := w.send(http.MethodGet, "/lookup/1", "r1", "")
	qt.Assert(t, got.status, qt.Equals, http.StatusOK)
}

func TestPathsSelectTheLongestPrefix(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 1)
	c.Assert(w.send(http.MethodGet, "/lookup/1", "r1", "").status, qt.Equals, 200)
	c.Assert(w.send(http.MethodGet, "/lookup", "r2", "").status, qt.Equals, 404)
	c.Assert(w.send(http.MethodGet, "/lookups/", "r3", "").status, qt.Equals, 404)
	c.Assert(w.send(http.MethodGet, "/lookup/deep/1", "r4", "").status, qt.Equals, 503, qt.Commentf("its service has no endpoint"))
	c.Assert(w.send(http.MethodGet, "/lookup/deeper", "r5", "").status, qt.Equals, 200)
}

func TestTheConfigurationBoundsBodies(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 1)
	const allowed = 1 << 20 // as imitator.Store.PutConfiguration says
	c.Assert(w.send(http.MethodPost, "/order/1", "fits", strings.Repeat("x", allowed)).status, qt.Equals, 200)
	// The refusal comes with the head: a caller that goes on sending may see a reset before it reads the answer.
	conn, err := net.Dial("tcp", w.address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: large\r\nContent-Length: %d\r\n\r\n", allowed+1)
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, 413)
	c.Assert(w.runs("large"), qt.HasLen, 0)
}

func TestTroubleOfEndpoints(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		trouble      imitator.Trouble
		lookup       int
		order        int
		orderRuns    int
		lookupRunsUp int
	}{
		"answers are lost":            {imitator.Lose, 502, 502, 1, 3},
		"answers belong to others":    {imitator.Mistake, 502, 502, 1, 3},
		"answers are cut":             {imitator.Cut, 502, 502, 1, 3},
		"answers have no length":      {imitator.Unframed, 200, 200, 1, 1},
		"answers are followed by one": {imitator.Extra, 200, 200, 1, 1},
		"endpoints refuse":            {imitator.Shed, 503, 503, 0, 0},
		"endpoints fail":              {imitator.Fail, 500, 500, 1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := configured(t, 3)
			w.trouble(5*time.Millisecond, test.trouble)
			lookup := w.send(http.MethodGet, "/lookup/1", "lookup", "")
			c.Assert(lookup.err, qt.IsNil)
			c.Check(lookup.status, qt.Equals, test.lookup)
			c.Check(len(w.runs("lookup")) <= test.lookupRunsUp, qt.IsTrue, qt.Commentf("%d runs", len(w.runs("lookup"))))
			order := w.send(http.MethodPost, "/order/1", "order", "body")
			c.Assert(order.err, qt.IsNil)
			c.Check(order.status, qt.Equals, test.order)
			c.Check(w.runs("order"), qt.HasLen, test.orderRuns)
			if test.order == 200 {
				c.Check(order.body, qt.Equals, "the server's bytes")
			}
		})
	}
}

func TestAnExtraAnswerReachesNobody(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 1)
	w.trouble(time.Millisecond, imitator.Extra)
	for i := range 20 {
		id := fmt.Sprintf("r%d", i)
		got := w.send(http.MethodPost, "/order/1", id, "")
		c.Assert(got.status, qt.Equals, 200)
		c.Assert(got.header.Get("Request-Id"), qt.Equals, id)
	}
}

func TestTheEndpointLearnsInTimeThatTheCallerLeft(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 1)
	w.trouble(5*time.Second, imitator.None)
	conn, err := net.Dial("tcp", w.address)
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nDeadline-Ms: 1000\r\n\r\n")
	c.Assert(err, qt.IsNil)
	w.await("the request runs", func() bool { return len(w.runs("r1")) == 1 })
	leftAt := time.Now()
	conn.Close()
	w.await("the endpoint learns it", func() bool { return w.runs("r1")[0].CancelledAfter > 0 })
	c.Assert(time.Since(leftAt) < 500*time.Millisecond, qt.IsTrue)
}

func TestALeavingEndpointAndAZoneOutGetNothingNew(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 2)
	w.list(w.endpoints[0], host.StateLeaving)
	w.await("the host knows that the endpoint leaves", func() bool {
		return slices.ContainsFunc(w.dump().Endpoints, func(e belief.Endpoint) bool {
			return e.ID == w.endpoints[0].ID && e.State == host.StateLeaving
		})
	})
	before := len(w.endpoints[0].Runs())
	for i := range 20 {
		c.Assert(w.send(http.MethodGet, "/lookup/1", fmt.Sprintf("r%d", i), "").status, qt.Equals, 200)
	}
	c.Assert(w.endpoints[0].Runs(), qt.HasLen, before)
	w.store.TakeZoneOut(zone)
	w.await("the zone is out", func() bool { return w.send(http.MethodGet, "/lookup/1", "out", "").status == 503 })
	w.store.BringZoneBack(zone)
	w.await("the zone is back", func() bool { return w.send(http.MethodGet, "/lookup/1", "back", "").status == 200 })
}

func TestRequestsOnKeptConnectionsAreAnsweredDuringAStop(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	w := configured(t, 2)
	w.trouble(300*time.Millisecond, imitator.None)
	conn, err := net.Dial("tcp", w.address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	exchange := func(id string) (*http.Response, error) {
		_, err := fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\nContent-Length: 2\r\n\r\nab", id)
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return response, err
	}
	first, err := exchange("r1")
	c.Assert(err, qt.IsNil)
	c.Assert(first.StatusCode, qt.Equals, 200)
	w.stop()
	w.await("the gateway is no longer ready", func() bool { return !w.isReady() })
	second, err := exchange("r2")
	c.Assert(err, qt.IsNil)
	c.Assert(second.StatusCode, qt.Equals, 200)
	c.Assert(second.Close, qt.IsTrue)
	c.Assert(w.send(http.MethodGet, "/lookup/1", "r3", "").status, qt.Equals, 200, qt.Commentf("a new connection while the balancer has not noticed"))
}
