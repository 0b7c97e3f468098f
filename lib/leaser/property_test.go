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
	steps       = 4000
	// longDeadline is the deadline of the work in the property test; work that outlasts much of a term shows more faults.
	longDeadline = 250 * time.Millisecond
	// minEpochs guards against a test in which the lease is hardly ever held.
	minEpochs = 100
)

// modelStore is one object with its conditional writes and faults.
type modelStore struct {
	current  object.Object
	previous object.Object
	stale    bool
	down     bool
	late     []call
}

// call is one call on its way; write is nil for a read.
type call struct {
	write  *leasestep.Step
	sentAt time.Time
	found  object.Object
	err    error
	done   bool
}

// actor is one host with its own clock.
type actor struct {
	leaser  *leaser.Leaser
	offset  time.Duration
	paused  bool
	pending *call
	// workUntil is when the last work that it may have sent ends.
	workUntil time.Time
	epoch     int64
}

// world drives several leasers against one store by drawn steps.
type world struct {
	t      *rapid.T
	now    time.Time
	store  *modelStore
	actors []*actor
	epochs map[int64]int
	uses   int
}

func TestNeverTwoHolders(t *testing.T) {
	uses, epochs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 3).Draw(t, "actors"))
		for range steps {
			w.step()
			w.check()
		}
		uses += w.uses
		epochs += len(w.epochs)
	})
	if epochs < minEpochs {
		t.Fatalf("the lease was held in only %d epochs", epochs)
	}
	t.Logf("%d uses in %d epochs", uses, epochs)
}

func newWorld(t *rapid.T, n int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), store: &modelStore{}, epochs: make(map[int64]int)}
	nonces := 0
	for i := range n {
		l := leaser.New(fmt.Sprintf("host-%d", i), ttl, longDeadline, leaser.WithNonces(func() string {
			nonces++
			return fmt.Sprintf("n%d", nonces)
		}))
		l.Want(true)
		offset := time.Duration(rapid.IntRange(-500, 500).Draw(t, "offset")) * time.Millisecond
		w.actors = append(w.actors, &actor{leaser: l, offset: offset})
	}
	return w
}

// events are drawn evenly; those that let the lease be held come more often than the faults.
var events = []string{
	"run", "run", "run", "run", "run", "run", "run", "run", "run", "run",
	"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver",
	"pause", "resume", "resume", "stale", "fresh", "fresh", "down", "up", "up",
	"unwant", "want", "want", "leap", "late", "late", "lose",
}

var passes = []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 7 * time.Millisecond, 20 * time.Millisecond}

// leaps reach to the last moments of a term, its end, and the end of the work under it.
var leaps = []time.Duration{ttl / 2, ttl - ttl/10 - 5*time.Millisecond, ttl, ttl + longDeadline}

func (w *world) step() {
	w.now = w.now.Add(rapid.SampledFrom(passes).Draw(w.t, "pass"))
	a := rapid.SampledFrom(w.actors).Draw(w.t, "actor")
	switch rapid.SampledFrom(events).Draw(w.t, "event") {
	case "run":
		w.run(a)
	case "deliver":
		w.deliver(a)
	case "pause":
		a.paused = true
	case "resume":
		a.paused = false
	case "stale":
		w.store.stale = true
	case "fresh":
		w.store.stale = false
	case "down":
		w.store.down = true
	case "up":
		w.store.down = false
	case "unwant":
		a.leaser.Want(false)
	case "want":
		a.leaser.Want(true)
	case "leap":
		w.now = w.now.Add(rapid.SampledFrom(leaps).Draw(w.t, "leap"))
	case "late":
		w.applyLate()
	case "lose":
		w.lose(a)
	}
}

// run lets a host take its answer, or ask for its next step.
func (w *world) run(a *actor) {
	if a.paused {
		return
	}
	local := w.now.Add(a.offset)
	if a.pending == nil {
		if next := a.leaser.Next(local); next.Kind != leasestep.None {
			a.pending = &call{sentAt: local}
			if next.Kind == leasestep.Write {
				a.pending.write = &next
			}
		}
		return
	}
	if !a.pending.done {
		if local.Sub(a.pending.sentAt) < callTimeout {
			return
		}
		// The call times out; a write may still be on its way.
		if a.pending.write != nil {
			w.store.late = append(w.store.late, *a.pending)
		}
		a.pending.err = storer.ErrUnknownOutcome
	}
	answered := *a.pending
	a.pending = nil
	if answered.write == nil {
		a.leaser.OnRead(local, answered.found, answered.err)
		return
	}
	a.leaser.OnWrite(local, answered.sentAt, answered.found.Version, answered.err)
}

// deliver brings a host's call to the store and its answer on the way back.
func (w *world) deliver(a *actor) {
	if a.pending == nil || a.pending.done {
		return
	}
	w.store.answer(a.pending)
	a.pending.done = true
}

// lose brings a host's call to the store and loses the answer.
func (w *world) lose(a *actor) {
	if a.pending == nil || a.pending.done {
		return
	}
	w.store.answer(a.pending)
	a.pending.done = true
	a.pending.found = object.Object{}
	a.pending.err = storer.ErrUnknownOutcome
}

func (w *world) applyLate() {
	if len(w.store.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.store.late)-1).Draw(w.t, "late")
	w.store.answer(&w.store.late[i])
	w.store.late = append(w.store.late[:i], w.store.late[i+1:]...)
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

// check lets every host that may use the lease use it, and fails when the work of two can meet.
func (w *world) check() {
	for i, a := range w.actors {
		epoch, holds := a.leaser.Holds(w.now.Add(a.offset))
		if a.paused || !holds {
			continue
		}
		w.uses++
		for j, other := range w.actors {
			if i != j && other.workUntil.After(w.now) {
				w.t.Fatalf("host %d uses the lease at %v, the work of host %d lasts until %v", i, w.now, j, other.workUntil)
			}
		}
		if owner, known := w.epochs[epoch]; known && owner != i {
			w.t.Fatalf("epoch %d belongs to hosts %d and %d", epoch, owner, i)
		}
		if epoch < a.epoch {
			w.t.Fatalf("epoch of host %d went back from %d to %d", i, a.epoch, epoch)
		}
		w.epochs[epoch] = i
		a.epoch = epoch
		a.workUntil = w.now.Add(longDeadline)
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
