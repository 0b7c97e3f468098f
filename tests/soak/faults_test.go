package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/platform/imitator"
	"poplarhook.example/standin/forwarder"
)

// fault is one kind of trouble; it returns a description and what ends it.
type fault func(w *world, random *rand.Rand) (what string, end func())

// faults are all kinds; each is drawn with the same chance.
var faults = []fault{killEntry, freezeEntry, stopEntry, reloadEntry, cutStore, resetStore, storeDown, storeMute, troubleEndpoint, cutEndpoint, drainEndpoint, takeZoneOut, changeConfiguration}

func draw[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}

func length(random *rand.Rand) time.Duration {
	return time.Duration(200+random.IntN(2500)) * time.Millisecond
}

// later calls end after the time; the soak waits for it.
func killEntry(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.entries)
	e.disturb(time.Now().Add(time.Hour))
	_ = e.process.Kill()
	<-e.process.Done()
	return "kill " + e.settings.HostID, func() { w.restart(e) }
}

// restart starts an entry again and ends its disturbance.
func (w *world) restart(e *entry) {
	select {
	case <-e.process.Done():
		w.start(e)
	default:
	}
	e.faultUntil = time.Now()
}

func freezeEntry(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.entries)
	e.disturb(time.Now().Add(time.Hour))
	_ = e.process.Freeze()
	return "freeze " + e.settings.HostID, func() {
		_ = e.process.Thaw()
		e.faultUntil = time.Now()
	}
}

func stopEntry(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.entries)
	e.disturb(time.Now().Add(time.Hour))
	_ = e.process.Terminate()
	return "stop " + e.settings.HostID, func() {
		select {
		case <-e.process.Done():
		case <-time.After(6 * time.Second):
			_ = e.process.Kill()
			<-e.process.Done()
		}
		w.restart(e)
	}
}

func reloadEntry(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.entries)
	_ = syscall.Kill(e.process.ID(), syscall.SIGHUP)
	return "reload " + e.settings.HostID, func() {}
}

func cutStore(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.entries)
	e.disturb(time.Now().Add(time.Hour))
	one := random.IntN(3)
	e.way.Change(func(s *forwarder.Settings) { s.CutToTarget, s.CutFromTarget = one != 1, one != 2 })
	return "cut the store from " + e.settings.HostID, func() {
		e.way.Change(func(s *forwarder.Settings) { s.CutToTarget, s.CutFromTarget = false, false })
		e.faultUntil = time.Now()
	}
}

func resetStore(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.entries)
	e.disturb(time.Now())
	silent := random.IntN(2) == 0
	e.way.Change(func(s *forwarder.Settings) { s.Silence, s.Reset = silent, !silent })
	return "break connections to the store of " + e.settings.HostID, func() {}
}

// disturbAll says that bounds in time hold for no host.
func (w *world) disturbAll(until time.Time) {
	for _, e := range w.entries {
		e.disturb(until)
	}
}

func storeDown(w *world, _ *rand.Rand) (string, func()) {
	w.store.SetDown(true)
	return "store down", func() {
		w.store.SetDown(false)
		w.disturbAll(time.Now())
	}
}

func storeMute(w *world, _ *rand.Rand) (string, func()) {
	w.store.SetMute(true)
	w.configure()
	return "watches hear nothing", func() {
		w.store.SetMute(false)
		w.store.Forget()
		w.disturbAll(time.Now())
	}
}

func troubleEndpoint(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.endpoints)
	trouble := draw(random, []imitator.Trouble{imitator.Lose, imitator.Shed, imitator.Mistake, imitator.Cut, imitator.Unframed, imitator.Extra, imitator.Fail})
	e.Set(time.Duration(5+random.IntN(100))*time.Millisecond, trouble)
	return "trouble at " + e.ID, func() { e.Set(5*time.Millisecond, imitator.None) }
}

func cutEndpoint(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.endpoints)
	how := random.IntN(4)
	e.way.Change(func(s *forwarder.Settings) {
		switch how {
		case 0:
			s.CutToTarget, s.CutFromTarget = true, true
		case 1:
			s.CutFromTarget = true
		case 2:
			s.Silence = true
		default:
			s.Reset, s.Refuse = true, true
		}
	})
	return "cut " + e.ID, func() {
		e.way.Change(func(s *forwarder.Settings) { s.CutToTarget, s.CutFromTarget, s.Refuse = false, false, false })
	}
}

func drainEndpoint(w *world, random *rand.Rand) (string, func()) {
	e := draw(random, w.endpoints)
	w.list(e, host.StateLeaving)
	return "drain " + e.ID, func() { w.list(e, host.StateLive) }
}

func takeZoneOut(w *world, random *rand.Rand) (string, func()) {
	zone := zoneName(random.IntN(zones))
	w.store.TakeZoneOut(zone)
	return "take out " + zone, func() { w.store.BringZoneBack(zone) }
}

func changeConfiguration(w *world, _ *rand.Rand) (string, func()) {
	w.configure()
	return "change the configuration", func() {}
}
