package supplier_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/freshness"
	"poplarhook.example/poplarhook/modules/bootclock"
	"poplarhook.example/poplarhook/services/supplier"
)

// revokeBound is the bound on revocations of the known deployments.
const revokeBound = 5 * time.Second

// strictCluster is a cluster whose hosts confirm their configurations. All hosts have the same clocks, which the test can
// set.
type strictCluster struct {
	*cluster
	trackers map[string]*freshness.Tracker
	// bootOffset is added to the time since the start of the machine, wallOffset to the wall clock.
	bootOffset, wallOffset atomic.Int64
}

func newStrictCluster(t *testing.T, hosts int) *strictCluster {
	t.Helper()
	s := &strictCluster{cluster: newCluster(t, 0), trackers: make(map[string]*freshness.Tracker)}
	for i := range hosts {
		s.startHost(fmt.Sprintf("host-%d", i))
	}
	return s
}

func (s *strictCluster) bootNow() time.Duration {
	return bootclock.Now() + time.Duration(s.bootOffset.Load())
}

func (s *strictCluster) startHost(id string, seeds ...string) *entryHost {
	s.t.Helper()
	tracker := freshness.New(revokeBound)
	s.trackers[id] = tracker
	s.options = []supplier.Option{
		supplier.WithStrictRevocation(tracker, s.bootNow, revokeBound),
		supplier.WithClock(func() time.Time { return time.Now().Add(time.Duration(s.wallOffset.Load())) }),
	}
	return s.start(id, seeds...)
}

func (s *strictCluster) isFresh(e *entryHost) bool {
	return s.trackers[e.id].IsFresh(s.bootNow())
}

// awaitFresh waits until all hosts accept keys.
func (s *strictCluster) awaitFresh() {
	s.t.Helper()
	s.awaitAll(10*time.Second, "hosts accept keys", s.isFresh)
}

// revocationWatch samples all hosts and keeps the longest time after a change at which a host without it accepted keys.
type revocationWatch struct {
	stop, done chan struct{}
	mu         sync.Mutex
	latest     time.Duration
}

// watchRevocation changes the configuration to version 2 and watches which of the present hosts still accept keys by an
// older one.
func (s *strictCluster) watchRevocation() *revocationWatch {
	const version = 2
	w := &revocationWatch{stop: make(chan struct{}), done: make(chan struct{})}
	hosts, trackers := slices.Clone(s.hosts), maps.Clone(s.trackers)
	s.configure(version)
	revokedAt := time.Now()
	go func() {
		defer close(w.done)
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			for _, e := range hosts {
				// The freshness is read first, as the caller's handler does.
				since, fresh := time.Since(revokedAt), trackers[e.id].IsFresh(s.bootNow())
				if fresh && e.version() < version {
					w.mu.Lock()
					w.latest = max(w.latest, since)
					w.mu.Unlock()
				}
			}
		}
	}()
	return w
}

// end stops the watch and returns the longest time after the change at which a host accepted keys by an older version.
func (w *revocationWatch) end() time.Duration {
	close(w.stop)
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latest
}

// Hosts that follow a store without faults, directly or through others, must accept keys all the time.
func TestHostsStayFreshWithoutFaults(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 4)
	s.awaitFresh()
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range s.hosts {
			age, _ := s.trackers[e.id].Age(s.bootNow())
			qt.Assert(t, s.isFresh(e), qt.IsTrue, qt.Commentf("%s: %v", e.id, age))
		}
	}
	for _, e := range s.hosts {
		qt.Check(t, e.eventCount("configuration_listed_to_confirm"), qt.Equals, 0, qt.Commentf("answered watches must suffice"))
	}
}

// Changes of other kinds must not keep hosts from accepting keys, although the count of changes is seldom complete then.
func TestHostsStayFreshWhileEndpointsChange(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 3)
	s.awaitFresh()
	i := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		i++
		s.store.Put("servers", fmt.Sprintf("e%d", i%50), map[string]any{"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 1, "state": "ready", "born": i})
		for _, e := range s.hosts {
			age, _ := s.trackers[e.id].Age(s.bootNow())
			qt.Assert(t, s.isFresh(e), qt.IsTrue, qt.Commentf("%s: %v", e.id, age))
		}
	}
}

// All hosts are cut off from the store: none may accept keys later than the bound, whatever the wall clock does, and all
// must accept them again once the store answers.
func TestHostsCutOffFromTheStoreRefuseKeysInTime(t *testing.T) {
	t.Parallel()
	for name, jump := range map[string]time.Duration{"steady wall clock": 0, "wall clock goes back": -time.Hour, "wall clock goes forward": time.Hour} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStrictCluster(t, 3)
			s.awaitFresh()
			s.store.SetDown(true)
			w := s.watchRevocation()
			s.wallOffset.Store(int64(jump))
			time.Sleep(revokeBound + time.Second)
			for _, e := range s.hosts {
				qt.Check(t, s.isFresh(e), qt.IsFalse)
			}
			late := w.end()
			qt.Check(t, late < revokeBound, qt.IsTrue, qt.Commentf("%v", late))
			s.wallOffset.Store(0)
			s.store.SetDown(false)
			s.awaitFresh()
			s.awaitAll(bound, "the changed configuration", hasVersion(2))
		})
	}
}

// The watches return nothing while the store goes on: the change must still be known, or keys be refused, in time.
func TestSilentWatchDoesNotConfirm(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 3)
	s.awaitFresh()
	s.store.SetWatchesSilent(true)
	w := s.watchRevocation()
	s.awaitAll(revokeBound, "a configuration that no watch returned", hasVersion(2))
	late := w.end()
	qt.Assert(t, late < revokeBound, qt.IsTrue, qt.Commentf("%v", late))
}

// The watches get no answer at all: the change must still be known, and as long as there is none hosts must go on to
// accept keys, since the store answers other calls.
func TestHungWatchNeitherConfirmsNorStopsKeys(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 3)
	s.awaitFresh()
	for _, e := range s.hosts {
		e.hangWatches()
	}
	for end := time.Now().Add(2 * revokeBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, e := range s.hosts {
			age, _ := s.trackers[e.id].Age(s.bootNow())
			qt.Assert(t, s.isFresh(e), qt.IsTrue, qt.Commentf("%s: %v", e.id, age))
		}
	}
	w := s.watchRevocation()
	s.awaitAll(revokeBound, "a configuration that no watch returned", hasVersion(2))
	late := w.end()
	qt.Assert(t, late < revokeBound, qt.IsTrue, qt.Commentf("%v", late))
}

// The watches return nothing and then the store is lost, so that no list shows the change: what such watches answered
// must not count as a confirmation.
func TestSilentWatchBeforeAnOutageDoesNotConfirm(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 3)
	s.awaitFresh()
	s.store.SetWatchesSilent(true)
	w := s.watchRevocation()
	time.Sleep(1200 * time.Millisecond)
	s.store.SetDown(true)
	time.Sleep(revokeBound)
	late := w.end()
	qt.Assert(t, late < revokeBound, qt.IsTrue, qt.Commentf("%v", late))
}

// A source that is itself cut off keeps sending lines or hands its readers over; in both cases its readers must not
// accept keys by its old view later than the bound.
func TestReadersOfACutOffSourceRefuseKeysInTime(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 4)
	s.awaitFresh()
	for _, e := range s.hosts {
		e.setRefused(true)
	}
	w := s.watchRevocation()
	time.Sleep(revokeBound + 500*time.Millisecond)
	for _, e := range s.hosts {
		qt.Check(t, s.isFresh(e), qt.IsFalse)
	}
	s.hosts[1].setRefused(false)
	s.awaitAll(10*time.Second, "the changed configuration", hasVersion(2))
	s.awaitFresh()
	late := w.end()
	qt.Assert(t, late < revokeBound, qt.IsTrue, qt.Commentf("%v", late))
}

// Machines that were suspended must refuse keys at once when they go on, and accept them after a confirmation.
func TestSuspendedHostsRefuseKeysUntilConfirmed(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 2)
	s.awaitFresh()
	s.store.SetDown(true)
	s.bootOffset.Store(int64(time.Minute))
	for _, e := range s.hosts {
		qt.Check(t, s.isFresh(e), qt.IsFalse)
	}
	time.Sleep(time.Second)
	for _, e := range s.hosts {
		qt.Check(t, s.isFresh(e), qt.IsFalse)
	}
	s.store.SetDown(false)
	s.awaitFresh()
}

// A host that restarts during an outage has the views of a seed host, but they must not be younger for it than for the
// seed host.
func TestRestartedHostIsNoFresherThanItsSeed(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newStrictCluster(t, 2)
	s.awaitFresh()
	s.store.SetDown(true)
	seed := s.hosts[1]
	late := s.startHost("host-late", seed.server.Listener.Addr().String())
	awaiter.New(5*time.Millisecond).Await(t, 5*time.Second, "the host has the views of the seed", func() bool { return late.version() == 1 })
	seedAt, _ := s.trackers[seed.id].ConfirmedAt()
	lateAt, _ := s.trackers[late.id].ConfirmedAt()
	c.Assert(lateAt <= seedAt, qt.IsTrue, qt.Commentf("%v after %v", lateAt, seedAt))
	w := s.watchRevocation()
	time.Sleep(revokeBound + 500*time.Millisecond)
	for _, e := range s.hosts {
		c.Check(s.isFresh(e), qt.IsFalse)
	}
	again := s.startHost("host-again", seed.server.Listener.Addr().String())
	awaiter.New(5*time.Millisecond).Await(t, 5*time.Second, "another host has the views of the seed", func() bool { return again.version() == 1 })
	c.Assert(s.isFresh(again), qt.IsFalse)
	latest := w.end()
	c.Assert(latest < revokeBound, qt.IsTrue, qt.Commentf("%v", latest))
}

// Settings and releases change host by host: a source that confirms nothing must not keep its readers from accepting
// keys, and a host without strict revocation can read from one with it.
func TestReadersLeaveASourceThatConfirmsNothing(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 0)
	s.options = nil
	plain := s.start("plain-0")
	awaiter.New(5*time.Millisecond).Await(t, 10*time.Second, "the host is up to date", plain.isUpToDate)
	strict := []*entryHost{s.startHost("host-0"), s.startHost("host-1"), s.startHost("host-2")}
	awaiter.New(5*time.Millisecond).Await(t, 10*time.Second, "hosts read from the one without confirmations", func() bool {
		return plain.supplier.Broadcaster().Readers() > 0
	})
	for _, e := range strict {
		awaiter.New(5*time.Millisecond).Await(t, 20*time.Second, "the host accepts keys", func() bool { return s.isFresh(e) })
	}
	s.configure(2)
	s.awaitAll(bound, "a changed configuration", hasVersion(2))
}

// A list that only confirms the configuration must not bring back the older one of a restored store, by which revoked
// keys would be accepted.
func TestListToConfirmKeepsTheConfigurationOfARestoredStore(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 0)
	s.store.SetEra(1)
	old := s.store.Copy()
	s.startHost("host-0")
	s.awaitFresh()
	s.configure(2)
	s.awaitAll(bound, "the configuration before the restoration", hasVersion(2))
	host := s.hosts[0]
	host.hangWatches()
	s.store.Restore(old)
	awaiter.New(5*time.Millisecond).Await(t, 30*time.Second, "the configuration is listed to confirm it", func() bool {
		return host.eventCount("configuration_listed_to_confirm") > 1
	})
	qt.Assert(t, host.version(), qt.Equals, int64(2))
	qt.Assert(t, s.isFresh(host), qt.IsTrue)
}

// A host that starts right after the store was restored from an older copy cannot notice that. It took the older
// configuration from the store and accepted keys that had been taken away, although the other hosts know better.
func TestHostThatStartsAfterARestorationAcceptsNoRevokedKeys(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := newStrictCluster(t, 0)
	s.store.SetEra(1)
	old := s.store.Copy()
	running := []*entryHost{s.startHost("host-0"), s.startHost("host-1")}
	s.awaitFresh()
	s.configure(2)
	s.awaitAll(bound, "the configuration before the restoration", hasVersion(2))
	for _, e := range running {
		// They cannot write their entries again, so the host that starts finds no other host in the store.
		e.setRefused(true)
	}
	s.store.Restore(old)
	late := s.startHost("late", "127.0.0.1:1", running[0].server.Listener.Addr().String())
	awaiter.New(5*time.Millisecond).Await(t, 5*time.Second, "the host accepts keys", func() bool { return s.isFresh(late) })
	c.Check(late.eventCount("source_store") > 0, qt.IsTrue)
	c.Check(late.wasRestored(), qt.IsTrue)
	late.mu.Lock()
	defer late.mu.Unlock()
	c.Check(late.versions[0], qt.Equals, int64(2), qt.Commentf("%v", late.versions))
	c.Check(slices.Contains(late.versions, 1), qt.IsFalse, qt.Commentf("%v", late.versions))
}

// A host that starts while the store refuses it must get all views from a seed, not only the configuration for which it asks
// before it follows the store.
func TestHostThatStartsWhileTheStoreRefusesItReadsASeed(t *testing.T) {
	t.Parallel()
	s := newStrictCluster(t, 1)
	s.store.PutEndpoint(host.Host{ID: "endpoint", Service: "s", Address: "127.0.0.1:1", AvailabilityZone: "zone-1"})
	s.awaitFresh()
	s.awaitAll(bound, "the endpoint", func(e *entryHost) bool { return e.knows("endpoint") })
	s.refuseNew = true
	late := s.startHost("late", s.hosts[0].server.Listener.Addr().String())
	awaiter.New(5*time.Millisecond).Await(t, 5*time.Second, "the host knows the endpoint and accepts keys", func() bool { return late.knows("endpoint") && s.isFresh(late) })
}
