package supplier_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
)

func TestChangesReachEveryHostAndCallsDoNotGrowWithHosts(t *testing.T) {
	w := newSettled(t, 8)
	calls := w.changeFiveTimes()
	qt.Assert(t, calls <= 12, qt.IsTrue, qt.Commentf("%d calls for 5 changes at 8 hosts", calls))
	for _, e := range w.hosts {
		qt.Assert(t, e.versions[len(e.versions)-1], qt.Equals, int64(6))
	}
}

func TestAChangeIsKnownInTimeWhenAnyHostDies(t *testing.T) {
	newSettled(t, 4).loseOneByOne()
}

func TestAChangeIsKnownInTimeThoughWatchesHearNothing(t *testing.T) {
	w := newWorld(t, 3)
	w.all(10*time.Second, "hosts are up to date", (*entryHost).isHeard)
	w.store.SetMute(true)
	w.configure(2)
	w.store.TakeZoneOut("zone-1")
	w.all(bound, "a zone out while watches hear nothing", func(e *entryHost) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.zonesOut == 1
	})
	w.store.Forget()
	w.all(bound+time.Second, "a configuration that no watch told", hasVersion(2))
}

func TestTheStoreIsHeardAgainAfterAnOutage(t *testing.T) {
	w := newWorld(t, 3)
	w.all(10*time.Second, "hosts are up to date", (*entryHost).isHeard)
	w.store.SetDown(true)
	w.all(5*time.Second, "the loss of the store is noticed", func(e *entryHost) bool { return !e.isHeard() })
	w.configure(2)
	w.store.SetDown(false)
	w.all(bound, "a configuration from during the outage", hasVersion(2))
}

func TestEveryHostLearnsOfTheGraceAfterAnOutage(t *testing.T) {
	w := newSettled(t, 3)
	w.playOutage(2)
	w.all(bound, "every host gives lapsed entries a grace", (*entryHost).hadGrace)
}

// Entries that vanish while only the source was lost are gone: a grace would keep endpoints in use for too long.
func TestTheLossOfTheSourceGivesNoGrace(t *testing.T) {
	w := newSettled(t, 4)
	w.loseOneByOne()
	qt.Assert(t, w.hosts[0].hadGrace(), qt.IsFalse)
}

func TestHostsThatTheStoreTurnsAwayLearnFromOthers(t *testing.T) {
	w := newSettled(t, 3)
	version := int64(1)
	for _, refused := range w.hosts {
		refused.refuse(true)
		version++
		w.configure(version)
		w.all(bound, "a configuration while the store turns "+refused.id+" away", hasVersion(version))
		refused.refuse(false)
		version++
		w.configure(version)
		w.all(bound, "a configuration after that", hasVersion(version))
	}
}

func TestAHostThatStartsDuringAnOutageLearnsFromASeed(t *testing.T) {
	w := newWorld(t, 3)
	w.configure(2)
	w.all(10*time.Second, "hosts are up to date", hasVersion(2))
	w.store.SetDown(true)
	late := w.start("host-late", "127.0.0.1:1", w.hosts[1].server.Listener.Addr().String())
	awaiter.New(5*time.Millisecond).Await(t, bound, "the host knows what the others know", func() bool { return late.version() == 2 })
	w.configure(3)
	w.store.SetDown(false)
	w.all(bound, "a configuration from during the outage", hasVersion(3))
}
