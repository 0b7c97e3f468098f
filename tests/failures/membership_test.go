package failures_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
	"poplarhook.example/tests/link"
)

// maxDisturbedShare is the largest share of the requests through healthy hosts that may go unserved over the whole run
// when other hosts are lost.
const maxDisturbedShare = 0.05

// The remaining entry hosts keep serving when a third of the hosts, including the owner, is killed at once.
func TestFleetRecoversFromKillOfThirdOfHosts(t *testing.T) {
	running, l, left := startBeforeLoss(t)
	owner := awaitOwner(t, running)
	lost := time.Now()
	killed := selectHostsToLose(running, owner)
	for _, id := range killed {
		qt.Assert(t, running.Kill(id), qt.IsNil)
	}
	for _, entry := range running.Entries() {
		if !slices.Contains(killed, entry.ID) {
			awaitNewOwner(t, running, entry.ID, killed, lost)
		}
	}
	checkRecovery(t, l, lost, left)
}

// awaitNewOwner waits, at most until reactionTime after the loss, for a host to know an owner that was not killed.
func awaitNewOwner(t *testing.T, running *fleet.Fleet, id string, killed []string, lost time.Time) {
	t.Helper()
	awaitWithin(t, time.Until(lost.Add(reactionTime)), "a new owner known by "+id, func() bool {
		owner := ownerKnownBy(t, running, id)
		return owner != "" && !slices.Contains(killed, owner)
	})
}

// The fleet keeps serving when a third of the entry hosts, including the owner, is frozen for longer than the timeout
// of its peers and then resumes.
func TestFleetRecoversFromFreezeOfThirdOfHosts(t *testing.T) {
	running, l, left := startBeforeLoss(t)
	owner := awaitOwner(t, running)
	lost := time.Now()
	for _, id := range selectHostsToLose(running, owner) {
		qt.Assert(t, running.Freeze(id), qt.IsNil)
	}
	waitDuration(t, 2*time.Second)
	for _, id := range selectHostsToLose(running, owner) {
		qt.Assert(t, running.Thaw(id), qt.IsNil)
	}
	checkRecovery(t, l, lost, left)
}

// startBeforeLoss starts a fleet of six entry hosts and a load through the four that the test does not disturb. It
// returns the fleet, the load and the number of loaded hosts.
func startBeforeLoss(t *testing.T) (*fleet.Fleet, *load, int) {
	t.Helper()
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "stock_availability", Servers: 4}), fleet.WithEntries(6))
	warmUp := startLoad(t, running, 200, running.EntryAddresses(), newLookupEntry())
	warmUp.awaitServed(t, 100)
	warmUp.end(t).checkInvariants(t)
	toLose := selectHostsToLose(running, awaitOwner(t, running))
	var addresses []string
	for _, entry := range running.Entries() {
		if entry.ID != toLose[0] && entry.ID != toLose[1] {
			addresses = append(addresses, entry.Address)
		}
	}
	l := startLoad(t, running, 300, addresses, newLookupEntry())
	l.awaitServed(t, 300)
	return running, l, len(addresses)
}

// selectHostsToLose returns a third of the six hosts: the owner and one more.
func selectHostsToLose(running *fleet.Fleet, owner string) []string {
	for _, entry := range running.Entries() {
		if entry.ID != owner {
			return []string{owner, entry.ID}
		}
	}
	return nil
}

// checkRecovery checks that at most maxDisturbedShare of the requests went unserved, and none that was scheduled more
// than reactionTime after the loss.
func checkRecovery(t *testing.T, l *load, lost time.Time, hosts int) {
	t.Helper()
	waitDuration(t, time.Until(lost.Add(reactionTime)))
	l.awaitServed(t, 200)
	f := l.end(t)
	f.checkInvariants(t)
	disturbed := len(f.outcomes) - f.countOutcomes(outcome.Served)
	after := f.scheduledBetween(lost.Add(reactionTime), time.Now())
	t.Logf("%d of %d requests through %d hosts not served; p99 more than %v after the loss: %v", disturbed, len(f.outcomes), hosts, reactionTime, after.p99())
	qt.Check(t, float64(disturbed) <= maxDisturbedShare*float64(len(f.outcomes)), qt.IsTrue)
	qt.Check(t, after.countOutcomes(outcome.Served), qt.Equals, len(after.outcomes))
}

// While a network partition separates the entry hosts into two halves, no cold endpoint gets more requests than its
// cold limit, no order runs twice and both halves keep serving. The halves connect again after the partition.
func TestPartitionBetweenHalvesOfHosts(t *testing.T) {
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "allocation", Servers: 4}), fleet.WithEntries(4),
		withColdEndpoints(), fleet.WithEndpointArguments("--start-warm"))
	links := connectHalvesThroughRelays(t, running)
	l := startLoad(t, running, 200, running.EntryAddresses(), newOrderEntry())
	l.awaitServed(t, 200)
	setLinkFaults(t, links, link.Faults{CutToTarget: true, CutFromTarget: true})
	cut := time.Now()
	for _, entry := range running.Entries() {
		awaitCondition(t, entry.ID+" to lose its links to the other half", func() bool { return len(connectedPeersOf(t, running, entry.ID)) == 1 })
	}
	setEndpointFaults(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
	l.awaitServed(t, 200)
	for _, entry := range running.Entries() {
		qt.Assert(t, connectedPeersOf(t, running, entry.ID), qt.HasLen, 1)
	}
	healed := time.Now()
	setLinkFaults(t, links, link.Faults{})
	for _, entry := range running.Entries() {
		awaitCondition(t, entry.ID+" to have links to the other half again", func() bool { return len(connectedPeersOf(t, running, entry.ID)) == 3 })
	}
	l.awaitServed(t, 300)
	f := l.end(t)
	f.checkInvariants(t)
	during := f.scheduledBetween(cut, healed)
	t.Logf("during the partition: %d of %d served, %v", during.countOutcomes(outcome.Served), len(during.outcomes), during.unservedReasons())
	qt.Check(t, f.overloadRestarts, qt.Equals, int64(0))
	qt.Check(t, during.countOutcomes(outcome.Served)*10 > len(during.outcomes)*9, qt.IsTrue)
}

// connectHalvesThroughRelays restarts the entry hosts of a fleet of four so that each reaches the other half only
// through relays. Each half reads its own host list, in which relays are the addresses of the other half.
func connectHalvesThroughRelays(t *testing.T, running *fleet.Fleet) []*link.Link {
	t.Helper()
	ctx := t.Context()
	list, err := running.StartHostList(ctx, "hosts-of-second-half")
	qt.Assert(t, err, qt.IsNil)
	for _, endpoint := range running.Endpoints() {
		qt.Assert(t, running.PutHostIntoList(ctx, list, endpoint), qt.IsNil)
	}
	second := restartWith(t, running, running.Entries()[2:], "--host-list-url", list)
	var links []*link.Link
	for _, entry := range second {
		qt.Assert(t, running.PutHostIntoList(ctx, list, entry), qt.IsNil)
		between, err := running.StartRelay(ctx, "link-"+entry.ID, entry.PeerAddress)
		qt.Assert(t, err, qt.IsNil)
		links = append(links, between)
		entry.PeerAddress = between.Address()
		qt.Assert(t, running.PutHost(ctx, entry), qt.IsNil)
	}
	for _, entry := range restartWith(t, running, running.Entries()[:2]) {
		between, err := running.StartRelay(ctx, "link-"+entry.ID, entry.PeerAddress)
		qt.Assert(t, err, qt.IsNil)
		links = append(links, between)
		entry.PeerAddress = between.Address()
		qt.Assert(t, running.PutHostIntoList(ctx, list, entry), qt.IsNil)
	}
	qt.Assert(t, running.WaitReady(ctx), qt.IsNil)
	for _, entry := range running.Entries() {
		awaitCondition(t, entry.ID+" to be connected with every peer", func() bool { return len(connectedPeersOf(t, running, entry.ID)) == 3 })
	}
	return links
}

// restartWith restarts entry hosts with additional arguments and returns them with their new addresses.
func restartWith(t *testing.T, running *fleet.Fleet, entries []host.Host, arguments ...string) []host.Host {
	t.Helper()
	ids := make(map[string]bool)
	for _, entry := range entries {
		ids[entry.ID] = true
		qt.Assert(t, running.Terminate(entry.ID), qt.IsNil)
		qt.Assert(t, running.StartEntry(t.Context(), entry, arguments...), qt.IsNil)
	}
	var started []host.Host
	for _, entry := range running.Entries() {
		if ids[entry.ID] {
			started = append(started, entry)
		}
	}
	return started
}

func setLinkFaults(t *testing.T, links []*link.Link, faults link.Faults) {
	t.Helper()
	for _, between := range links {
		qt.Assert(t, between.Set(t.Context(), faults), qt.IsNil)
	}
}

// connectedPeersOf returns the IDs of the peers to which a host has a link.
func connectedPeersOf(t *testing.T, running *fleet.Fleet, id string) []string {
	t.Helper()
	var dumped struct {
		Connected []string `json:"connected"`
	}
	qt.Assert(t, running.State(t.Context(), id, &dumped), qt.IsNil)
	return dumped.Connected
}
