package arbiter_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/effect"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/services/arbiter"
)

var startTime = time.Unix(1_800_000_000, 0)

func timeAfterStart(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func noZonesOut(string) bool { return false }

func alwaysConnected(string) bool { return true }

func newEndpoints(ids ...string) []host.Host {
	hosts := make([]host.Host, 0, len(ids))
	for _, id := range ids {
		hosts = append(hosts, host.Host{ID: id, Slots: 2, AvailabilityZone: "rosenheim"})
	}
	return hosts
}

// newOwner returns an arbiter that owns its group and may grant credits for cold endpoints.
func newOwner(ids ...string) *arbiter.Arbiter {
	a := arbiter.New("e0", group.Group{Service: "fabric_stock", Region: "oberbayern"})
	a.SetEndpoints(startTime, newEndpoints(ids...), noZonesOut)
	a.SetOwner(startTime, "e0", alwaysConnected)
	a.AllowCold(startTime, timeAfterStart(60_000))
	return a
}

func newWarmReport(incarnation string) report.Report {
	return report.Report{Status: 200, HasLoad: true, Incarnation: incarnation}
}

func bindRequest(a *arbiter.Arbiter, now time.Time, id uint64) effect.Effect {
	return a.Bind(now, id, requirement.Requirement{Deadline: now.Add(time.Second), Urgency: requirement.Normal})
}

// warmUp sends requests one after the other until the limits of the warm endpoints add up to n, and returns the time
// in milliseconds.
func warmUp(c *quicktest.C, a *arbiter.Arbiter, ms, n int) int {
	c.Helper()
	id := uint64(1)
	for ; ms < 10_000; ms += 10 {
		bound := bindRequest(a, timeAfterStart(ms), id).Bound
		for _, b := range bound {
			a.Finish(timeAfterStart(ms+1), b.Endpoint, b.Cold, newWarmReport("i-"+b.Endpoint))
		}
		a.Tick(timeAfterStart(ms + 2))
		id++
		total := 0
		for _, condition := range a.State(timeAfterStart(ms + 2)).Conditions {
			if !condition.Cold {
				total += condition.Limit
			}
		}
		if total >= n {
			return ms + 10
		}
	}
	c.Fatalf("the warm endpoints did not reach a total limit of %d requests in flight", n)
	return ms
}

func TestOwnerUsesFullLimitOfWarmEndpoints(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	ms := warmUp(c, a, 0, 6)
	bound := 0
	for id := uint64(1000); id < 1010; id++ {
		bound += len(bindRequest(a, timeAfterStart(ms), id).Bound)
	}
	c.Assert(bound, quicktest.Equals, 6, quicktest.Commentf("the limit is slots + 1 at each of two endpoints"))
}

// Guards against a fault where the owner's borrower refused credits that its own lender kept granting, because the
// borrower still treated endpoints as cold that had become warm again.
func TestOwnerUsesEndpointsThatWarmedUpAgain(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a", "b")
	ms := warmUp(c, a, 0, 6)
	a.ConnectionClosed(timeAfterStart(ms), "a")
	a.ConnectionClosed(timeAfterStart(ms), "b")
	for id := uint64(2000); id < 2040; id++ {
		ms += 2
		for _, b := range bindRequest(a, timeAfterStart(ms), id).Bound {
			a.Finish(timeAfterStart(ms+1), b.Endpoint, b.Cold, newWarmReport("i-"+b.Endpoint))
		}
	}
	c.Assert(bindRequest(a, timeAfterStart(ms), 3000).Bound, quicktest.HasLen, 1)
}

func TestClosedEndpointsGetNoRequests(t *testing.T) {
	cases := []struct {
		name  string
		close func(a *arbiter.Arbiter, now time.Time)
	}{
		{"zone out", func(a *arbiter.Arbiter, now time.Time) {
			a.SetEndpoints(now, newEndpoints("a", "b"), func(string) bool { return true })
		}},
		{"reports that it is leaving", func(a *arbiter.Arbiter, now time.Time) {
			for id, endpoint := range []string{"a", "b"} {
				leaving := newWarmReport("i-" + endpoint)
				leaving.Leaving = true
				a.Finish(now, endpoint, false, leaving)
				_ = id
			}
		}},
		{"listed as leaving", func(a *arbiter.Arbiter, now time.Time) {
			hosts := newEndpoints("a", "b")
			for i := range hosts {
				hosts[i] = hosts[i].WithState(host.StateLeaving)
			}
			a.SetEndpoints(now, hosts, noZonesOut)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := quicktest.New(t)
			a := newOwner("a", "b")
			ms := warmUp(c, a, 0, 6)
			tc.close(a, timeAfterStart(ms))
			c.Assert(bindRequest(a, timeAfterStart(ms+1), 5000).Bound, quicktest.HasLen, 0)
			c.Assert(a.HasOpenEndpoint(timeAfterStart(ms+1)), quicktest.IsFalse)
		})
	}
}

func TestColdCreditsNeedPermission(t *testing.T) {
	c := quicktest.New(t)
	a := arbiter.New("e0", group.Group{Service: "fabric_stock", Region: "oberbayern"})
	a.SetEndpoints(startTime, newEndpoints("a"), noZonesOut)
	a.SetOwner(startTime, "e0", alwaysConnected)
	c.Assert(bindRequest(a, timeAfterStart(1), 1).Bound, quicktest.HasLen, 0)
	bound := a.AllowCold(timeAfterStart(2), timeAfterStart(500)).Bound
	c.Assert(bound, quicktest.HasLen, 1)
	c.Assert(bound[0].Cold, quicktest.IsTrue)
	c.Assert(bound[0].Until.After(timeAfterStart(500)), quicktest.IsFalse)
	c.Assert(bindRequest(a, timeAfterStart(3), 2).Bound, quicktest.HasLen, 0, quicktest.Commentf("a cold endpoint gets one request at a time"))
}

// A cancelled request may still run at its endpoint until the endpoint notices that the connection was closed.
func TestColdCreditOfCancelledRequestIsReturnedAfterDelay(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a")
	bound := bindRequest(a, timeAfterStart(1), 1).Bound
	c.Assert(bound, quicktest.HasLen, 1)
	bindRequest(a, timeAfterStart(2), 2)
	finished := a.Finish(timeAfterStart(10), "a", true, report.Report{Cancelled: true})
	c.Assert(finished.Bound, quicktest.HasLen, 0)
	c.Assert(a.Tick(timeAfterStart(100)).Bound, quicktest.HasLen, 0)
	c.Assert(a.Tick(timeAfterStart(110)).Bound, quicktest.HasLen, 1)
}

func TestColdCreditOfUnsentRequestIsReturnedAtOnce(t *testing.T) {
	c := quicktest.New(t)
	a := newOwner("a")
	c.Assert(bindRequest(a, timeAfterStart(1), 1).Bound, quicktest.HasLen, 1)
	bindRequest(a, timeAfterStart(2), 2)
	finished := a.Finish(timeAfterStart(10), "a", true, report.Report{Cancelled: true, Unsent: true})
	c.Assert(finished.Bound, quicktest.HasLen, 1)
}
