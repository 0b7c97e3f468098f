package publisher_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"path"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/validator"
)

const (
	operators        = 4
	changesOfEach    = 8
	teams            = 2
	historyTimeout   = 30 * time.Second
	shareOfImpatient = 0.1
)

// state is the register that operators change and read.
type state struct {
	revision int64
	last     string
	document [teams]string
}

// input is a change of one team's document, or a read for an empty id.
type input struct {
	id   string
	team int
}

type output struct {
	err      error
	revision int64
	read     state
}

// register allows an accepted change one effect, a refused one none, and either to one of unknown outcome.
func register() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(s, in, out any) []any {
			was, change, result := s.(state), in.(input), out.(output)
			next := was
			next.revision++
			next.last = change.id
			next.document[change.team] = change.id
			switch {
			case change.id == "" && result.read == was:
				return []any{was}
			case change.id == "":
				return nil
			case errors.Is(result.err, publisher.ErrUnknownOutcome):
				return []any{was, next}
			case result.err != nil:
				return []any{was}
			case result.revision == next.revision:
				return []any{next}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// TestHistories checks that concurrent publishers on a faulty store are
// linearizable and that the history keeps every accepted change.
func TestHistories(t *testing.T) {
	for seed := range uint64(20) {
		store := newFakeStore(seed, faults{unavailable: 0.1, lostAfter: 0.15, lostBefore: 0.05, delayed: 0.1, stale: 0.2})
		history := race(t, store, seed)
		store.set(faults{})
		x, _, err := newPublisher(store).Index(t.Context())
		qt.Assert(t, err, qt.IsNil)
		for _, operation := range history {
			in, out := operation.Input.(input), operation.Output.(output)
			if in.id == "" || out.err != nil {
				continue
			}
			change, found := x.Change(in.id)
			qt.Assert(t, found, qt.IsTrue, qt.Commentf("seed %d: %s is lost", seed, in.id))
			qt.Assert(t, change.Revision, qt.Equals, out.revision)
		}
		result := porcupine.CheckOperationsTimeout(register(), history, historyTimeout)
		qt.Assert(t, result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
	}
}

func race(t *testing.T, store *fakeStore, seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	started := time.Now()
	record := func(operator int, in input, act func() output) {
		call := time.Since(started)
		out := act()
		end := time.Since(started).Nanoseconds()
		if errors.Is(out.err, publisher.ErrUnknownOutcome) {
			end = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: operator, Input: in, Call: call.Nanoseconds(), Output: out, Return: end})
	}
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			for i := range changesOfEach {
				in := input{id: fmt.Sprintf("change-%d-%d", operator, i), team: random.IntN(teams)}
				record(operator, in, func() output { return change(t.Context(), store, in, random) })
				record(operator, input{}, func() output { return read(store) })
			}
		})
	}
	running.Wait()
	return history
}

// change publishes as an operator does, who at times gives up during a pause.
func change(ctx context.Context, store *fakeStore, in input, random *rand.Rand) output {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	impatient := publisher.WithPause(func(context.Context, time.Duration) error {
		if random.Float64() < shareOfImpatient {
			cancel()
		}
		return nil
	})
	p := publisher.New(store, validator.New(), impatient)
	team := fmt.Sprintf("team_%d", in.team)
	accepted, err := p.Publish(ctx, proposal.ForDocument(in.id, "tester", at, shop(team, "/"+team)))
	return output{err: err, revision: accepted.Revision}
}

// read looks at what the store really holds, past its faults.
func read(store *fakeStore) output {
	store.mu.Lock()
	defer store.mu.Unlock()
	held := store.objects[index.Key]
	if len(held) == 0 {
		return output{}
	}
	return output{read: decode(held[len(held)-1])}
}

func decode(held object.Object) state {
	x, err := assembler.Decode(held)
	if err != nil {
		panic(err)
	}
	s := state{revision: x.Revision, last: x.ChangeID}
	for team := range teams {
		entry, _ := x.Entry(fmt.Sprintf("team_%d", team))
		if change, found := x.Change(path.Base(path.Dir(entry.Key))); found {
			s.document[team] = change.ChangeID
		}
	}
	return s
}
