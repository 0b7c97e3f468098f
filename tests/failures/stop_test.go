package failures_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// A leaving endpoint gets no new requests through any host after reactionTime. This holds for an endpoint that reports
// the state in its answers and health checks long before the host list does, and for one whose state only the delayed
// host list reports.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	running := startFleet(t, threeRegionDeployment(), fleet.WithEntries(6))
	l := startLoad(t, running, 300, running.EntryAddresses(), newLookupEntry())
	l.awaitServed(t, 300)
	setPlatformFaults(t, running, platformFaults{HostListLagMS: new(500)})
	endpoints := endpointsOf(running, "stock_availability")
	leavingAt := time.Now()
	setEndpointFaults(t, running, endpoints[0], endpointFaults{Leaving: new(true)})
	listed := endpoints[1]
	listed.State = host.StateLeaving
	qt.Assert(t, running.PutHost(t.Context(), listed), qt.IsNil)
	waitDuration(t, reactionTime+serviceWindow)
	f := l.end(t)
	f.checkInvariants(t)
	for _, leaving := range endpoints[:2] {
		ids := map[string]bool{leaving.ID: true}
		t.Logf("%s: %d executions began more than %v after the endpoint was leaving", leaving.ID, f.countExecutions(ids, leavingAt.Add(zoneOutTarget), time.Now()), zoneOutTarget)
		qt.Check(t, f.countExecutions(ids, leavingAt.Add(reactionTime), time.Now()), qt.Equals, 0)
		qt.Check(t, f.countExecutions(ids, time.Time{}, leavingAt) > 0, qt.IsTrue)
	}
}

// readyHostSender sends each request to an entry host whose readiness check passes, as the platform's balancer does.
type readyHostSender struct {
	running *fleet.Fleet
	ready   atomic.Pointer[[]*sender.Sender]
	senders map[string]*sender.Sender
	mix     []scenario.Entry
}

func newReadyHostSender(t *testing.T, running *fleet.Fleet, mix ...scenario.Entry) *readyHostSender {
	t.Helper()
	f := &readyHostSender{running: running, senders: make(map[string]*sender.Sender), mix: mix}
	f.updateReady(t.Context())
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(ended)
		ticker := time.NewTicker(10 * conditionPollInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			select {
			case <-ticker.C:
				f.updateReady(ctx)
			case <-ctx.Done():
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return f
}

// updateReady checks which entry hosts are ready and keeps the previous ones if none is.
func (s *readyHostSender) updateReady(ctx context.Context) {
	var ready []*sender.Sender
	for _, entry := range s.running.Entries() {
		if _, err := s.running.Get(ctx, "http://"+entry.AdminAddress+"/readyz"); err != nil {
			continue
		}
		if s.senders[entry.Address] == nil {
			s.senders[entry.Address] = sender.New(s.mix, []string{entry.Address}, time.Now)
		}
		ready = append(ready, s.senders[entry.Address])
	}
	if len(ready) > 0 {
		s.ready.Store(&ready)
	}
}

// Send sends the request to one of the ready entry hosts.
func (s *readyHostSender) Send(ctx context.Context, arrival scheduler.Arrival, start time.Time) outcome.Outcome {
	ready := *s.ready.Load()
	chosen := ready[int(arrival.Intended/time.Microsecond)%len(ready)]
	arrival.Target = 0
	return chosen.Send(ctx, arrival, start)
}

// A rolling restart of all entry hosts interrupts no order.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "allocation", Servers: 4}), fleet.WithEntries(3),
		fleet.WithEntryArguments("--drain-notice", "1s"), fleet.WithEndpointArguments("--mean-service-ms", "20"))
	l := startLoadWithSender(t, running, 150, newReadyHostSender(t, running, newOrderEntry()), 1, newOrderEntry())
	l.awaitServed(t, 50)
	for _, entry := range running.Entries() {
		qt.Assert(t, running.Terminate(entry.ID), qt.IsNil)
		qt.Assert(t, running.StartEntry(t.Context(), entry), qt.IsNil)
		qt.Assert(t, running.WaitReady(t.Context()), qt.IsNil)
		l.awaitServed(t, 100)
	}
	f := l.end(t)
	f.checkInvariants(t)
	qt.Check(t, f.countOutcomes(outcome.Unknown, outcome.Broken), qt.Equals, 0)
	qt.Check(t, f.countOutcomes(outcome.Served), qt.Equals, len(f.outcomes))
}

// A planned stop of an endpoint process makes no order fail: an order that the endpoint did not run is run elsewhere.
func TestPlannedEndpointStopInterruptsNoRequest(t *testing.T) {
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "allocation", Servers: 4}), fleet.WithEntries(3),
		fleet.WithEndpointProcessPerZone())
	l := startLoad(t, running, 150, running.EntryAddresses(), newOrderEntry())
	l.awaitServed(t, 100)
	before, err := running.EndpointRecords(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, running.Terminate("endpoints-pohja-b"), qt.IsNil)
	l.awaitServed(t, 200)
	l.stop()
	f := loadResult{outcomes: <-l.ended, executions: before.Executions}
	t.Logf("not served: %v", f.unservedReasons())
	qt.Check(t, f.countOutcomes(outcome.Unknown, outcome.Broken, outcome.NotRun), qt.Equals, 0)
}

// A request that was sent behind another one on its connection and read by a stopping host got no answer: the first
// answer closed the connection.
func TestPipelinedRequestsAreAnsweredWhenAHostStops(t *testing.T) {
	c := qt.New(t)
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "allocation", Servers: 4}), fleet.WithEntries(1),
		fleet.WithEntryArguments("--drain-notice", "1s"), fleet.WithEndpointArguments("--mean-service-ms", "300"))
	entry := running.Entries()[0]
	conn, err := net.Dial("tcp", entry.Address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	order := newOrderEntry()
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n", order.Method, order.Path, order.Host)
	receive := func() bool {
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		return response.Close
	}
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	c.Assert(receive(), qt.IsFalse)

	process, err := running.Process(entry.ID)
	c.Assert(err, qt.IsNil)
	stopped := make(chan error, 1)
	go func() { stopped <- process.Stop(20 * time.Second) }()
	awaitCondition(t, "the host is not ready", func() bool { return !isReady(t, entry) })
	_, err = io.WriteString(conn, request+request)
	c.Assert(err, qt.IsNil)
	c.Assert(receive(), qt.IsFalse)
	c.Assert(receive(), qt.IsTrue)
	c.Assert(<-stopped, qt.IsNil)
}

// isReady reports whether the host says that it takes requests.
func isReady(t *testing.T, entry host.Host) bool {
	t.Helper()
	response, err := http.Get("http://" + entry.AdminAddress + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
