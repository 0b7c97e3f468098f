package dispatcher_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/services/dispatcher"
)

// attemptOutcome is how one attempt ends, as in the transitions of spec/once.pml.
type attemptOutcome string

const (
	notAttempted    attemptOutcome = "held back"
	notSent         attemptOutcome = "not sent"
	partlySent      attemptOutcome = "partly sent"
	partlySentWhole attemptOutcome = "partly sent, but received whole"
	closedUnrun     attemptOutcome = "closed before it ran"
	closedAfterRun  attemptOutcome = "closed after it ran"
	abandonedUnrun  attemptOutcome = "silent, never ran"
	abandonedRun    attemptOutcome = "silent, ran late"
	truncatedAnswer attemptOutcome = "answer truncated"
	refusedNotRun   attemptOutcome = "refused as not run"
	refusedPlain    attemptOutcome = "refused without an outcome"
	answered        attemptOutcome = "answered"
)

var attemptOutcomes = []attemptOutcome{
	notAttempted, notSent, partlySent, partlySentWhole, closedUnrun, closedAfterRun,
	abandonedUnrun, abandonedRun, truncatedAnswer, refusedNotRun, refusedPlain, answered,
}

// isRequestRun reports whether an endpoint runs the request, even if only after the caller was answered.
func (c attemptOutcome) isRequestRun() bool {
	switch c {
	case partlySentWhole, closedAfterRun, abandonedRun, truncatedAnswer, answered:
		return true
	default:
		return false
	}
}

// randomOutcomeSender ends each attempt with a randomly drawn outcome and counts the attempts that an endpoint runs.
type randomOutcomeSender struct {
	mu       sync.Mutex
	outcomes []attemptOutcome
	sends    int
	runs     int
}

func (s *randomOutcomeSender) drawOutcome() attemptOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := s.outcomes[s.sends]
	s.sends++
	if drawn.isRequestRun() {
		s.runs++
	}
	return drawn
}

func (s *randomOutcomeSender) Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error) {
	switch s.drawOutcome() {
	case notAttempted:
		return nil, errors.Wrap(exchanger.ErrNotAttempted, "drawn")
	case notSent:
		return nil, errors.Wrap(exchanger.ErrNotSent, "drawn")
	case abandonedUnrun, abandonedRun:
		return waitForCancel(ctx)
	case truncatedAnswer:
		return answerTruncated(ctx)
	case refusedNotRun:
		return answerWith(http.StatusServiceUnavailable, "application/problem+json", refusalBody)(ctx)
	case refusedPlain:
		return answerWith(http.StatusServiceUnavailable, "text/plain", "busy")(ctx)
	case answered:
		return answerWith(http.StatusOK, "text/plain", j.ID+" from "+b.Endpoint.ID)(ctx)
	default:
		return nil, errors.Wrap(exchanger.ErrBroken, "drawn")
	}
}

func (s *randomOutcomeSender) CloseIdleConnections(host.Host, time.Time) {}

// TestRefusalsMatchWhatWasRun checks for random outcomes of the attempts, taken from the transitions of spec/once.pml,
// that a once-only request runs at most once and that a request refused as not run was not run.
func TestRefusalsMatchWhatWasRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		execution := rapid.SampledFrom([]string{class.OnceOnly, class.OnceOnly, class.Idempotent}).Draw(t, "execution")
		s := &randomOutcomeSender{outcomes: rapid.SliceOfN(rapid.SampledFrom(attemptOutcomes), 8, 8).Draw(t, "outcomes")}
		b := &fakeBinder{}
		d := dispatcher.New(b, s, oneGroupPlanner{},
			dispatcher.WithHedges(fixedHedgeTimer{time.Millisecond}, fixedBudget{rapid.Bool().Draw(t, "hedges")}),
			dispatcher.WithRetries(fixedBudget{rapid.Bool().Draw(t, "retries")}))
		j := newJob(execution)
		j.Deadline = j.ArrivedAt.Add(10 * time.Millisecond)
		a, err := d.Dispatch(context.Background(), j)
		body := ""
		if err == nil {
			body = string(a.Start)
			if a.Rest != nil {
				rest, _ := io.ReadAll(a.Rest)
				body += string(rest)
			}
			a.Close()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		taken := s.outcomes[:s.sends]
		switch {
		case execution == class.OnceOnly && s.runs > 1:
			t.Fatalf("once-only request ran %d times; outcomes of the attempts: %v", s.runs, taken)
		case errors.Is(err, refusal.ErrNotRun) && s.runs > 0:
			t.Fatalf("request refused as not run, but it ran %d times; outcomes of the attempts: %v", s.runs, taken)
		case err == nil && a.Status == http.StatusOK && !strings.HasPrefix(body, j.ID+" from "):
			t.Fatalf("the body %q is not an answer to this request; outcomes of the attempts: %v", body, taken)
		case err != nil && !errors.Is(err, refusal.ErrNotRun) && !errors.Is(err, refusal.ErrUnknown):
			t.Fatalf("refusal is neither not_run nor unknown: %v", err)
		case b.countUnfinishedBindings() != 0:
			t.Fatalf("%d bindings were not finished; outcomes of the attempts: %v", b.countUnfinishedBindings(), taken)
		}
	})
}
