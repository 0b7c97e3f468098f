package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"poplarhook.example/lib/host"
	"poplarhook.example/platform/imitator"
	"poplarhook.example/standin/forwarder"
)

// fault starts one kind of fault and returns its description and a function that ends it.
type fault func(env *environment, random *rand.Rand) (description string, end func())

// faults lists all kinds of faults; each is chosen with the same probability.
var faults = []fault{killEntry, freezeEntry, stopEntry, reloadEntry, cutStore, resetStore, takeStoreDown, muteStore, makeEndpointMisbehave, cutEndpoint, drainEndpoint, takeZoneOut, changeConfiguration}

func pickRandom[T any](random *rand.Rand, from []T) T {
	return from[random.IntN(len(from))]
}

func drawFaultDuration(random *rand.Rand) time.Duration {
	return time.Duration(200+random.IntN(2500)) * time.Millisecond
}

// killEntry kills an entry host. The returned function starts it again.
func killEntry(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.entries)
	e.extendFault(time.Now().Add(time.Hour))
	_ = e.process.Kill()
	<-e.process.Done()
	return "kill " + e.settings.HostID, func() { env.restartIfEnded(e) }
}

// restartIfEnded starts an entry host again if its process has ended, and marks it as without a fault from now on.
func (env *environment) restartIfEnded(e *entry) {
	select {
	case <-e.process.Done():
		env.startEntryProcess(e)
	default:
	}
	e.faultUntil = time.Now()
}

func freezeEntry(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.entries)
	e.extendFault(time.Now().Add(time.Hour))
	_ = e.process.Freeze()
	return "freeze " + e.settings.HostID, func() {
		_ = e.process.Thaw()
		e.faultUntil = time.Now()
	}
}

func stopEntry(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.entries)
	e.extendFault(time.Now().Add(time.Hour))
	_ = e.process.Terminate()
	return "stop " + e.settings.HostID, func() {
		select {
		case <-e.process.Done():
		case <-time.After(6 * time.Second):
			_ = e.process.Kill()
			<-e.process.Done()
		}
		env.restartIfEnded(e)
	}
}

func reloadEntry(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.entries)
	_ = syscall.Kill(e.process.ID(), syscall.SIGHUP)
	return "reload " + e.settings.HostID, func() {}
}

func cutStore(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.entries)
	e.extendFault(time.Now().Add(time.Hour))
	direction := random.IntN(3)
	e.storeLink.Change(func(s *forwarder.Settings) { s.CutToTarget, s.CutFromTarget = direction != 1, direction != 2 })
	return "cut the store from " + e.settings.HostID, func() {
		e.storeLink.Change(func(s *forwarder.Settings) { s.CutToTarget, s.CutFromTarget = false, false })
		e.faultUntil = time.Now()
	}
}

func resetStore(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.entries)
	e.extendFault(time.Now())
	silent := random.IntN(2) == 0
	e.storeLink.Change(func(s *forwarder.Settings) { s.Silence, s.Reset = silent, !silent })
	return "break connections to the store of " + e.settings.HostID, func() {}
}

// extendFaultOfAll marks every entry host as under a fault until the given time, or until a later time set before.
func (env *environment) extendFaultOfAll(until time.Time) {
	for _, e := range env.entries {
		e.extendFault(until)
	}
}

func takeStoreDown(env *environment, _ *rand.Rand) (string, func()) {
	env.store.SetDown(true)
	return "store down", func() {
		env.store.SetDown(false)
		env.extendFaultOfAll(time.Now())
	}
}

func muteStore(env *environment, _ *rand.Rand) (string, func()) {
	env.store.SetWatchesSilent(true)
	env.putNextConfiguration()
	return "store sends nothing to watches", func() {
		env.store.SetWatchesSilent(false)
		env.store.DropHistory()
		env.extendFaultOfAll(time.Now())
	}
}

func makeEndpointMisbehave(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.endpoints)
	answerFault := pickRandom(random, []imitator.Fault{imitator.NoAnswer, imitator.RefuseNotRun, imitator.WrongRequestID, imitator.TruncatedBody, imitator.CloseDelimited, imitator.DuplicateAnswer, imitator.InternalError})
	e.SetBehavior(time.Duration(5+random.IntN(100))*time.Millisecond, answerFault)
	return "faulty answers of " + e.ID, func() { e.SetBehavior(5*time.Millisecond, imitator.NoFault) }
}

func cutEndpoint(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.endpoints)
	variant := random.IntN(4)
	e.link.Change(func(s *forwarder.Settings) {
		switch variant {
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
		e.link.Change(func(s *forwarder.Settings) { s.CutToTarget, s.CutFromTarget, s.Refuse = false, false, false })
	}
}

func drainEndpoint(env *environment, random *rand.Rand) (string, func()) {
	e := pickRandom(random, env.endpoints)
	env.listEndpoint(e, host.StateLeaving)
	return "drain " + e.ID, func() { env.listEndpoint(e, host.StateLive) }
}

func takeZoneOut(env *environment, random *rand.Rand) (string, func()) {
	zone := zoneName(random.IntN(zoneCount))
	env.store.TakeZoneOut(zone)
	return "take out " + zone, func() { env.store.BringZoneBack(zone) }
}

func changeConfiguration(env *environment, _ *rand.Rand) (string, func()) {
	env.putNextConfiguration()
	return "change the configuration", func() {}
}
