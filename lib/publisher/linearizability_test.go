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
	operators          = 4
	changesPerOperator = 8
	teams              = 2
	// checkTimeout bounds the linearizability check of one history.
	checkTimeout = 30 * time.Second
	// cancelShare is the probability that an operator cancels a publish during a pause.
	cancelShare = 0.1
)

// state is the part of the configuration that operators change and read in the linearizability check.
type state struct {
	revision int64
	last     string
	document [teams]string
}

// input is a change of one team's document, or a read if the id is empty.
type input struct {
	id   string
	team int
}

type output struct {
	err      error
	revision int64
	read     state
}

// registerModel returns the sequential model: an accepted change takes effect once, a refused change never, and a
// change of unknown outcome may or may not have taken effect.
func registerModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(s, in, out any) []any {
			before, change, result := s.(state), in.(input), out.(output)
			next := before
			next.revision++
			next.last = change.id
			next.document[change.team] = change.id
			switch {
			case change.id == "" && result.read == before:
				return []any{before}
			case change.id == "":
				return nil
			case errors.Is(result.err, publisher.ErrUnknownOutcome):
				return []any{before, next}
			case result.err != nil:
				return []any{before}
			case result.revision == next.revision:
				return []any{next}
			}
			return nil
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// Publishers that run concurrently on a faulty store must be linearizable, and the history must contain every
// accepted change.
func TestConcurrentPublishesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		store := newFakeStore(seed, faults{unavailable: 0.1, replyLost: 0.15, requestLost: 0.05, delayed: 0.1, stale: 0.2})
		history := runOperators(t, store, seed)
		store.setFaults(faults{})
		x, _, err := newPublisher(store).Index(t.Context())
		qt.Assert(t, err, qt.IsNil)
		for _, operation := range history {
			in, out := operation.Input.(input), operation.Output.(output)
			if in.id == "" || out.err != nil {
				continue
			}
			change, found := x.Change(in.id)
			qt.Assert(t, found, qt.IsTrue, qt.Commentf("seed %d: %s is not in the history", seed, in.id))
			qt.Assert(t, change.Revision, qt.Equals, out.revision)
		}
		result := porcupine.CheckOperationsTimeout(registerModel(), history, checkTimeout)
		qt.Assert(t, result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
	}
}

// runOperators lets the operators publish and read concurrently and returns all their operations.
func runOperators(t *testing.T, store *fakeStore, seed uint64) []porcupine.Operation {
	var mu sync.Mutex
	var history []porcupine.Operation
	begin := time.Now()
	record := func(operator int, in input, call func() output) {
		calledAt := time.Since(begin)
		out := call()
		returnedAt := time.Since(begin).Nanoseconds()
		if errors.Is(out.err, publisher.ErrUnknownOutcome) {
			returnedAt = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: operator, Input: in, Call: calledAt.Nanoseconds(), Output: out, Return: returnedAt})
	}
	var running sync.WaitGroup
	for operator := range operators {
		running.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			for i := range changesPerOperator {
				in := input{id: fmt.Sprintf("change-%d-%d", operator, i), team: random.IntN(teams)}
				record(operator, in, func() output { return publishChange(t.Context(), store, in, random) })
				record(operator, input{}, func() output { return readState(store) })
			}
		})
	}
	running.Wait()
	return history
}

// publishChange publishes a change of a team's document and cancels it during a pause with the probability cancelShare.
func publishChange(ctx context.Context, store *fakeStore, in input, random *rand.Rand) output {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	cancelAtRandom := publisher.WithPause(func(context.Context, time.Duration) error {
		if random.Float64() < cancelShare {
			cancel()
		}
		return nil
	})
	p := publisher.New(store, validator.New(), cancelAtRandom)
	team := fmt.Sprintf("team_%d", in.team)
	accepted, err := p.Publish(ctx, proposal.ForDocument(in.id, "tester", changedAt, teamDocument(team, "/"+team)))
	return output{err: err, revision: accepted.Revision}
}

// readState returns the actual state of the store, without applying its faults.
func readState(store *fakeStore) output {
	store.mu.Lock()
	defer store.mu.Unlock()
	versions := store.objects[index.Key]
	if len(versions) == 0 {
		return output{}
	}
	return output{read: decodeState(versions[len(versions)-1])}
}

func decodeState(stored object.Object) state {
	x, err := assembler.Decode(stored)
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
