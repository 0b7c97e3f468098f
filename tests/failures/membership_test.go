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

// disturbedShare bounds the requests through hosts that live which a loss of others disturbs, over the whole run.
const disturbedShare = 0.05

// A third of the entry hosts is lost at once, the owner among them; those that are left serve on.
func TestLossOfAThirdOfTheHosts(t *testing.T) {
	running, l, left := startToLose(t)
	owner := ownerOf(t, running)
	lost := time.Now()
	killed := lostWith(running, owner)
	for _, id := range killed {
		qt.Assert(t, running.Kill(id), qt.IsNil)
	}
	for _, entry := range running.Entries() {
		if !slices.Contains(killed, entry.ID) {
			awaitOtherOwner(t, running, entry.ID, killed, lost)
		}
	}
	checkRecovery(t, l, lost, left)
}

// awaitOtherOwner waits until a host follows an owner that is not among the lost, within a few seconds of the loss.
func awaitOtherOwner(t *testing.T, running *fleet.Fleet, id string, gone []string, lost time.Time) {
	t.Helper()
	awaitWithin(t, time.Until(lost.Add(few)), "another owner at "+id, func() bool {
		owner := ownerAt(t, running, id)
		return owner != "" && !slices.Contains(gone, owner)
	})
}

// A third of the entry hosts is frozen for longer than its peers wait, the owner among them, and goes on.
func TestFreezeOfAThirdOfTheHosts(t *testing.T) {
	running, l, left := startToLose(t)
	owner := ownerOf(t, running)
	lost := time.Now()
	for _, id := range lostWith(running, owner) {
		qt.Assert(t, running.Freeze(id), qt.IsNil)
	}
	pass(t, 2*time.Second)
	for _, id := range lostWith(running, owner) {
		qt.Assert(t, running.Thaw(id), qt.IsNil)
	}
	checkRecovery(t, l, lost, left)
}

// startToLose loads the hosts of a fleet of six that are not to be lost.
func startToLose(t *testing.T) (*fleet.Fleet, *load, int) {
	t.Helper()
	running := start(t, pohja(deployment.Service{Name: "stock_availability", Servers: 4}), fleet.WithEntries(6))
	warm := offer(t, running, 200, running.EntryAddresses(), lookups())
	warm.awaitServed(t, 100)
	warm.end(t).assertTrue(t)
	lose := lostWith(running, ownerOf(t, running))
	var addresses []string
	for _, entry := range running.Entries() {
		if entry.ID != lose[0] && entry.ID != lose[1] {
			addresses = append(addresses, entry.Address)
		}
	}
	l := offer(t, running, 300, addresses, lookups())
	l.awaitServed(t, 300)
	return running, l, len(addresses)
}

// lostWith returns a third of six hosts: the owner and one more.
func lostWith(running *fleet.Fleet, owner string) []string {
	for _, entry := range running.Entries() {
		if entry.ID != owner {
			return []string{owner, entry.ID}
		}
	}
	return nil
}

// checkRecovery checks that few requests were disturbed and none later than a few seconds after the loss.
func checkRecovery(t *testing.T, l *load, lost time.Time, hosts int) {
	t.Helper()
	pass(t, time.Until(lost.Add(few)))
	l.awaitServed(t, 200)
	f := l.end(t)
	f.assertTrue(t)
	disturbed := len(f.outcomes) - f.count(outcome.Served)
	after := f.between(lost.Add(few), time.Now())
	t.Logf("%d of %d requests through %d hosts disturbed; later than %v p99 %v", disturbed, len(f.outcomes), hosts, few, after.p99())
	qt.Check(t, float64(disturbed) <= disturbedShare*float64(len(f.outcomes)), qt.IsTrue)
	qt.Check(t, after.count(outcome.Served), qt.Equals, len(after.outcomes))
}

// Two halves of the entry hosts lose sight of each other: no cold endpoint gets more than it bears, no order runs
// twice, both halves serve on, and they find each other again.
func TestPartitionBetweenHalvesOfTheHosts(t *testing.T) {
	running := start(t, pohja(deployment.Service{Name: "allocation", Servers: 4}), fleet.WithEntries(4),
		coldEndpoints(), fleet.WithEndpointArguments("--start-warm"))
	links := relayBetweenHalves(t, running)
	l := offer(t, running, 200, running.EntryAddresses(), orders())
	l.awaitServed(t, 200)
	setLinks(t, links, link.Faults{CutToTarget: true, CutFromTarget: true})
	cut := time.Now()
	for _, entry := range running.Entries() {
		await(t, entry.ID+" to lose the other half", func() bool { return len(connectedTo(t, running, entry.ID)) == 1 })
	}
	control(t, running, running.Endpoints()[0], endpointFaults{Restart: true})
	l.awaitServed(t, 200)
	for _, entry := range running.Entries() {
		qt.Assert(t, connectedTo(t, running, entry.ID), qt.HasLen, 1)
	}
	healed := time.Now()
	setLinks(t, links, link.Faults{})
	for _, entry := range running.Entries() {
		await(t, entry.ID+" to find the other half", func() bool { return len(connectedTo(t, running, entry.ID)) == 3 })
	}
	l.awaitServed(t, 300)
	f := l.end(t)
	f.assertTrue(t)
	during := f.between(cut, healed)
	t.Logf("during the cut: %d of %d served, %v", during.count(outcome.Served), len(during.outcomes), during.reasons())
	qt.Check(t, f.fellOver, qt.Equals, int64(0))
	qt.Check(t, during.count(outcome.Served)*10 > len(during.outcomes)*9, qt.IsTrue)
}

// relayBetweenHalves starts the entry hosts of a fleet of four anew, so that each reaches those of the other half
// only through a relay: the halves read host lists of their own, with the relays as the addresses of the others.
func relayBetweenHalves(t *testing.T, running *fleet.Fleet) []*link.Link {
	t.Helper()
	ctx := t.Context()
	list, err := running.StartHostList(ctx, "hosts-of-second-half")
	qt.Assert(t, err, qt.IsNil)
	for _, endpoint := range running.Endpoints() {
		qt.Assert(t, running.PutHostInto(ctx, list, endpoint), qt.IsNil)
	}
	second := restart(t, running, running.Entries()[2:], "--host-list-url", list)
	var links []*link.Link
	for _, entry := range second {
		qt.Assert(t, running.PutHostInto(ctx, list, entry), qt.IsNil)
		between, err := running.StartRelay(ctx, "link-"+entry.ID, entry.PeerAddress)
		qt.Assert(t, err, qt.IsNil)
		links = append(links, between)
		entry.PeerAddress = between.Address()
		qt.Assert(t, running.PutHost(ctx, entry), qt.IsNil)
	}
	for _, entry := range restart(t, running, running.Entries()[:2]) {
		between, err := running.StartRelay(ctx, "link-"+entry.ID, entry.PeerAddress)
		qt.Assert(t, err, qt.IsNil)
		links = append(links, between)
		entry.PeerAddress = between.Address()
		qt.Assert(t, running.PutHostInto(ctx, list, entry), qt.IsNil)
	}
	qt.Assert(t, running.WaitReady(ctx), qt.IsNil)
	for _, entry := range running.Entries() {
		await(t, entry.ID+" to be connected with all", func() bool { return len(connectedTo(t, running, entry.ID)) == 3 })
	}
	return links
}

// restart stops entry hosts and starts them anew with some more arguments; it returns them with their new addresses.
func restart(t *testing.T, running *fleet.Fleet, entries []host.Host, arguments ...string) []host.Host {
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

func setLinks(t *testing.T, links []*link.Link, faults link.Faults) {
	t.Helper()
	for _, between := range links {
		qt.Assert(t, between.Set(t.Context(), faults), qt.IsNil)
	}
}

// connectedTo returns the peers to which a host has a link.
func connectedTo(t *testing.T, running *fleet.Fleet, id string) []string {
	t.Helper()
	var dumped struct {
		Connected []string `json:"connected"`
	}
	qt.Assert(t, running.State(t.Context(), id, &dumped), qt.IsNil)
	return dumped.Connected
}
