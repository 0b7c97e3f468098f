package leaser_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplarhook.example/lib/lease"
	"poplarhook.example/lib/leaser"
	"poplarhook.example/lib/leasestep"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

const (
	ttl         = 300 * time.Millisecond
	maxDeadline = 100 * time.Millisecond
	callTimeout = 80 * time.Millisecond
	stepCount   = 4000
	// longDeadline is the deadline of work in the property test. Work that lasts for most of a term reveals more faults.
	longDeadline = 250 * time.Millisecond
	// minEpochs is the lowest number of epochs in which the lease must be held, or the test checks too little.
	minEpochs = 100
)

// modelStore is a store of one object with conditional writes and simulated faults.
type modelStore struct {
	current       object.Object
	previous      object.Object
	stale         bool
	down          bool
	delayedWrites []call
}

// call is one call to the store that has not returned yet; write is nil for a read.
type call struct {
	write  *leasestep.Step
	sentAt time.Time
	found  object.Object
	err    error
	done   bool
}

// simulatedHost is one host with its own clock.
type simulatedHost struct {
	leaser      *leaser.Leaser
	offset      time.Duration
	paused      bool
	pendingCall *call
	// workUntil is the time at which the last work that the host may have sent ends.
	workUntil time.Time
	epoch     int64
}

// simulation runs several leasers against one store in randomly drawn steps.
type simulation struct {
	t      *rapid.T
	now    time.Time
	store  *modelStore
	hosts  []*simulatedHost
	epochs map[int64]int
	uses   int
}

func TestNeverTwoHolders(t *testing.T) {
	uses, epochs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.IntRange(2, 3).Draw(t, "hosts"))
		for range stepCount {
			w.step()
			w.checkHolders()
		}
		uses += w.uses
		epochs += len(w.epochs)
	})
	if epochs < minEpochs {
		t.Fatalf("the lease was held in only %d epochs", epochs)
	}
	t.Logf("%d uses in %d epochs", uses, epochs)
}

func newSimulation(t *rapid.T, n int) *simulation {
	w := &simulation{t: t, now: time.Unix(1000, 0), store: &modelStore{}, epochs: make(map[int64]int)}
	nonces := 0
	for i := range n {
		l := leaser.New(fmt.Sprintf("host-%d", i), ttl, longDeadline, leaser.WithNonces(func() string {
			nonces++
			return fmt.Sprintf("n%d", nonces)
		}))
		l.SetWanted(true)
		offset := time.Duration(rapid.IntRange(-500, 500).Draw(t, "offset")) * time.Millisecond
		w.hosts = append(w.hosts, &simulatedHost{leaser: l, offset: offset})
	}
	return w
}

// events are drawn with equal probability. Those that let a host hold the lease are listed more often than the faults.
var events = []string{
	"run", "run", "run", "run", "run", "run", "run", "run", "run", "run",
	"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver",
	"pause", "resume", "resume", "stale", "fresh", "fresh", "down", "up", "up",
	"unwant", "want", "want", "jump_clock", "apply_delayed", "apply_delayed", "lose_reply",
}

var clockSteps = []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 7 * time.Millisecond, 20 * time.Millisecond}

// clockJumps end in the middle of a term, shortly before its margin, at its end and at the end of the work under it.
var clockJumps = []time.Duration{ttl / 2, ttl - ttl/10 - 5*time.Millisecond, ttl, ttl + longDeadline}

func (w *simulation) step() {
	w.now = w.now.Add(rapid.SampledFrom(clockSteps).Draw(w.t, "clock_step"))
	h := rapid.SampledFrom(w.hosts).Draw(w.t, "host")
	switch rapid.SampledFrom(events).Draw(w.t, "event") {
	case "run":
		w.runHost(h)
	case "deliver":
		w.deliverCall(h)
	case "pause":
		h.paused = true
	case "resume":
		h.paused = false
	case "stale":
		w.store.stale = true
	case "fresh":
		w.store.stale = false
	case "down":
		w.store.down = true
	case "up":
		w.store.down = false
	case "unwant":
		h.leaser.SetWanted(false)
	case "want":
		h.leaser.SetWanted(true)
	case "jump_clock":
		w.now = w.now.Add(rapid.SampledFrom(clockJumps).Draw(w.t, "jump_clock"))
	case "apply_delayed":
		w.applyDelayedWrite()
	case "lose_reply":
		w.loseReply(h)
	}
}

// runHost lets a host process the answer to its call, or start its next step.
func (w *simulation) runHost(h *simulatedHost) {
	if h.paused {
		return
	}
	local := w.now.Add(h.offset)
	if h.pendingCall == nil {
		if next := h.leaser.Next(local); next.Kind != leasestep.None {
			h.pendingCall = &call{sentAt: local}
			if next.Kind == leasestep.Write {
				h.pendingCall.write = &next
			}
		}
		return
	}
	if !h.pendingCall.done {
		if local.Sub(h.pendingCall.sentAt) < callTimeout {
			return
		}
		// The call times out, but the store may still receive a write later.
		if h.pendingCall.write != nil {
			w.store.delayedWrites = append(w.store.delayedWrites, *h.pendingCall)
		}
		h.pendingCall.err = storer.ErrUnknownOutcome
	}
	answered := *h.pendingCall
	h.pendingCall = nil
	if answered.write == nil {
		h.leaser.OnRead(local, answered.found, answered.err)
		return
	}
	h.leaser.OnWrite(local, answered.sentAt, answered.found.Version, answered.err)
}

// deliverCall lets the store process a host's call and makes the answer available.
func (w *simulation) deliverCall(h *simulatedHost) {
	if h.pendingCall == nil || h.pendingCall.done {
		return
	}
	w.store.answer(h.pendingCall)
	h.pendingCall.done = true
}

// loseReply lets the store process a host's call and drops the answer.
func (w *simulation) loseReply(h *simulatedHost) {
	if h.pendingCall == nil || h.pendingCall.done {
		return
	}
	w.store.answer(h.pendingCall)
	h.pendingCall.done = true
	h.pendingCall.found = object.Object{}
	h.pendingCall.err = storer.ErrUnknownOutcome
}

func (w *simulation) applyDelayedWrite() {
	if len(w.store.delayedWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.store.delayedWrites)-1).Draw(w.t, "apply_delayed")
	w.store.answer(&w.store.delayedWrites[i])
	w.store.delayedWrites = append(w.store.delayedWrites[:i], w.store.delayedWrites[i+1:]...)
}

func (s *modelStore) answer(c *call) {
	switch {
	case s.down:
		c.err = storer.ErrUnavailable
	case c.write == nil && s.stale:
		c.found = s.previous
	case c.write == nil:
		c.found = s.current
	case c.write.IfVersion != s.current.Version:
		c.err = storer.ErrConflict
	default:
		s.previous = s.current
		s.current = object.Object{Version: s.current.Version + 1, Value: c.write.Value}
		c.found = s.current
	}
	if c.write == nil && c.err == nil && c.found.Version == 0 {
		c.err = storer.ErrNotFound
	}
}

// checkHolders lets every host that holds the lease use it, and fails if the work of two hosts can overlap.
func (w *simulation) checkHolders() {
	for i, h := range w.hosts {
		epoch, holds := h.leaser.Holds(w.now.Add(h.offset))
		if h.paused || !holds {
			continue
		}
		w.uses++
		for j, other := range w.hosts {
			if i != j && other.workUntil.After(w.now) {
				w.t.Fatalf("host %d uses the lease at %v, the work of host %d lasts until %v", i, w.now, j, other.workUntil)
			}
		}
		if owner, known := w.epochs[epoch]; known && owner != i {
			w.t.Fatalf("epoch %d belongs to hosts %d and %d", epoch, owner, i)
		}
		if epoch < h.epoch {
			w.t.Fatalf("epoch of host %d went back from %d to %d", i, h.epoch, epoch)
		}
		w.epochs[epoch] = i
		h.epoch = epoch
		h.workUntil = w.now.Add(longDeadline)
	}
}

func TestStoredLeaseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := lease.Lease{
			Holder:        rapid.String().Draw(t, "holder"),
			Epoch:         rapid.Int64().Draw(t, "epoch"),
			Nonce:         rapid.String().Draw(t, "nonce"),
			TTLMS:         rapid.Int64Min(0).Draw(t, "ttl_ms"),
			MaxDeadlineMS: rapid.Int64Min(0).Draw(t, "max_deadline_ms"),
		}
		got, err := lease.Parse(want.Encode())
		if err != nil || got != want {
			t.Fatalf("got %+v, error %v, want %+v", got, err, want)
		}
	})
}
