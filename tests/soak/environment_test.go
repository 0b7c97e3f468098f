package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/class"
	"poplarhook.example/lib/deployment"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/service"
	"poplarhook.example/platform/imitator"
	"poplarhook.example/standin/forwarder"
	"poplarhook.example/tests/process"
)

const (
	zones        = 3
	perZone      = 2
	stockService = "stock"
	orderService = "orders"
	shop         = "shop.example"
	// bound is within what time changes are in force; it stands in the settings of the hosts.
	bound = 2 * time.Second
	// stable is how long a host must have been without faults for bounds in time to hold.
	stable = 3 * time.Second
	// zoneOutBound is within what time a zone taken out gets nothing more.
	zoneOutBound = 5 * time.Second
)

// hostsAZone returns how many gateways run in each zone, SOAK_HOSTS if that is set.
func hostsAZone() int {
	if n, err := strconv.Atoi(os.Getenv("SOAK_HOSTS")); err == nil && n > 0 {
		return n
	}
	return 2
}

// entry is one gateway process with its way to the store.
type entry struct {
	settings   deployment.Deployment
	path       string
	process    *process.Process
	way        *forwarder.Forwarder
	starts     int
	faultUntil time.Time
}

// endpoint is one endpoint with the way that hosts take to it.
type endpoint struct {
	*imitator.Endpoint
	zone    string
	service string
	way     *forwarder.Forwarder
}

// world is everything that a soak runs.
type world struct {
	t         *testing.T
	ctx       context.Context
	store     *imitator.Store
	address   string
	folder    string
	entries   []*entry
	endpoints []*endpoint
	version   int64
	nextPort  int
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// newWorld starts the store, the endpoints and the gateways, and waits until all are ready.
func newWorld(t *testing.T) *world {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{t: t, ctx: ctx, store: imitator.NewStore(), folder: t.TempDir(), version: 1}
	server := httptest.NewServer(w.store)
	w.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		if t.Failed() {
			w.keepLogs()
		}
		for _, e := range w.entries {
			if e.process != nil {
				_ = e.process.Thaw()
				_ = e.process.Kill()
				<-e.process.Done()
			}
		}
		cancel()
		for _, e := range w.endpoints {
			e.Close()
		}
		server.CloseClientConnections()
		server.Close()
	})
	w.configure()
	for z := range zones {
		for i := range perZone {
			w.addEndpoint(z, i, stockService)
			w.addEndpoint(z, i, orderService)
		}
	}
	for z := range zones {
		for i := range hostsAZone() {
			w.addEntry(z, i)
		}
	}
	for _, e := range w.entries {
		awaiter.New(10*time.Millisecond).Await(t, 20*time.Second, e.settings.HostID+" is ready or ended", func() bool { return e.isReady() || e.hasEnded() })
		qt.Assert(t, e.hasEnded(), qt.IsFalse, qt.Commentf("%s ended by itself at its start", e.settings.HostID))
	}
	return w
}

// configure writes the next version, which adds one route.
func (w *world) configure() {
	w.version++
	classes := []class.Class{
		{Name: "lookup", Hosts: []string{shop}, PathPrefix: "/lookup/", Service: stockService, Execution: class.Idempotent, LatencyTargetMS: 300, DeadlineMS: 1500, MaxSends: 3},
		{Name: "order", Hosts: []string{shop}, PathPrefix: "/order/", Service: orderService, Execution: class.OnceOnly, LatencyTargetMS: 300, DeadlineMS: 1500, MaxSends: 3},
		{Name: "newest", Hosts: []string{shop}, PathPrefix: fmt.Sprintf("/version-%d/", w.version), Service: stockService, Execution: class.Idempotent, LatencyTargetMS: 300, DeadlineMS: 1500, MaxSends: 3},
	}
	var services []service.Service
	for _, name := range []string{stockService, orderService} {
		services = append(services, service.Service{Name: name, HealthPath: "/health", Connections: 200, WarmUp: time.Second, ColdPerSecond: 5})
	}
	w.store.PutConfiguration(w.version, classes, services)
}

func (w *world) addEndpoint(z, i int, name string) {
	e := &endpoint{Endpoint: imitator.NewEndpoint(fmt.Sprintf("%s-%d-%d", name, z, i)), zone: zoneName(z), service: name}
	e.way = w.link(e.Address())
	w.endpoints = append(w.endpoints, e)
	w.list(e, host.StateLive)
}

func (w *world) list(e *endpoint, state string) {
	w.store.PutEndpoint(host.Host{ID: e.ID, Service: e.service, Address: e.way.Address(), AvailabilityZone: e.zone, Slots: 2, State: state})
}

// link starts a forwarder to the target.
func (w *world) link(target string) *forwarder.Forwarder {
	f := forwarder.New(target, forwarder.Settings{})
	_, err := f.Start(w.ctx, "127.0.0.1:0")
	qt.Assert(w.t, err, qt.IsNil)
	return f
}

const (
	// firstPort and portsInAll keep listeners below the ports that the system gives to outgoing connections, and
	// portsAHost runs beside each other apart; some ports may be taken.
	firstPort  = 15000
	portsInAll = 12800
	portsAHost = 10
)

// freePorts returns the next ports of loopback that are free.
func (w *world) freePorts(n int) []int {
	var ports []int
	ofRun := portsAHost * zones * hostsAZone()
	for len(ports) < n {
		port := firstPort + os.Getpid()%(portsInAll/ofRun)*ofRun + w.nextPort
		w.nextPort++
		qt.Assert(w.t, w.nextPort < ofRun, qt.IsTrue, qt.Commentf("no port is free"))
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		l.Close()
		ports = append(ports, port)
	}
	return ports
}

func (w *world) addEntry(z, i int) {
	e := &entry{way: w.link(w.address)}
	ports := w.freePorts(4)
	at := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	regions := make(map[string]string)
	for j := range zones {
		regions[zoneName(j)] = fmt.Sprintf("region-%d", j%2)
	}
	e.settings = deployment.Deployment{
		HostID: fmt.Sprintf("entry-%d-%d", z, i), AvailabilityZone: zoneName(z), Region: regions[zoneName(z)], Regions: regions,
		Address: "127.0.0.1", Listen: at(ports[0]), ReadyListen: at(ports[1]), PeerListen: at(ports[2]), AdminPorts: []int{ports[3], ports[3] + 1}, StoreAddress: e.way.Address(),
		HistoryS: 20, Processor: 0.3, Link: 100,
		Bounds: deployment.Bounds{
			ConfigurationMS: bound.Milliseconds(), LeavingMS: 2000, ZoneOutMS: zoneOutBound.Milliseconds(), StopS: 6,
			RetryShare: 0.2, RetrySlack: 58, RetryWindowS: 10, ColdSlack: 5, ProbesPerSecond: 60,
		},
	}
	for _, other := range w.entries[:min(len(w.entries), 2)] {
		e.settings.Seeds = append(e.settings.Seeds, other.settings.PeerListen)
	}
	text, err := json.Marshal(e.settings)
	qt.Assert(w.t, err, qt.IsNil)
	e.path = filepath.Join(w.folder, e.settings.HostID+".json")
	qt.Assert(w.t, os.WriteFile(e.path, text, 0o600), qt.IsNil)
	w.entries = append(w.entries, e)
	w.start(e)
}

// start starts the gateway's process; its log goes to the folder of the test.
func (w *world) start(e *entry) {
	e.starts++
	p, err := process.Start(fmt.Sprintf("%s-%d", e.settings.HostID, e.starts), "../../bin/poplarhook", w.folder, nil, "gateway", "--settings", e.path)
	qt.Assert(w.t, err, qt.IsNil)
	e.process = p
}

func (e *entry) hasEnded() bool {
	select {
	case <-e.process.Done():
		return true
	default:
		return false
	}
}

func (e *entry) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.settings.ReadyListen + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// disturb says that the gateway is under a fault until the given time.
func (e *entry) disturb(until time.Time) {
	if until.After(e.faultUntil) {
		e.faultUntil = until
	}
}
