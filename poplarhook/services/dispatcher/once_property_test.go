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

// course is how one attempt goes, by the transitions of spec/once.pml.
type course string

const (
	heldBack        course = "held back"
	notSent         course = "not sent"
	partlySent      course = "partly sent"
	partlySentWhole course = "partly sent, yet whole"
	closedUnrun     course = "closed before it ran"
	closedAfterRun  course = "closed after it ran"
	abandonedUnrun  course = "silent, never ran"
	abandonedRun    course = "silent, ran late"
	truncatedAnswer course = "answer truncated"
	promised        course = "refused with a promise"
	refusedBare     course = "refused without a promise"
	answered        course = "answered"
)

var courses = []course{
	heldBack, notSent, partlySent, partlySentWhole, closedUnrun, closedAfterRun,
	abandonedUnrun, abandonedRun, truncatedAnswer, promised, refusedBare, answered,
}

// runs tells whether an endpoint runs the request, at the latest after the caller was answered.
func (c course) runs() bool {
	switch c {
	case partlySentWhole, closedAfterRun, abandonedRun, truncatedAnswer, answered:
		return true
	default:
		return false
	}
}

// drawnSender lets each attempt take a drawn course and counts what runs.
type drawnSender struct {
	mu      sync.Mutex
	courses []course
	sends   int
	runs    int
}

func (s *drawnSender) next() course {
	s.mu.Lock()
	defer s.mu.Unlock()
	drawn := s.courses[s.sends]
	s.sends++
	if drawn.runs() {
		s.runs++
	}
	return drawn
}

func (s *drawnSender) Send(ctx context.Context, b binding.Binding, j job.Job) (*http.Response, error) {
	switch s.next() {
	case heldBack:
		return nil, errors.Wrap(exchanger.ErrHeldBack, "drawn")
	case notSent:
		return nil, errors.Wrap(exchanger.ErrNotSent, "drawn")
	case abandonedUnrun, abandonedRun:
		return silent(ctx)
	case truncatedAnswer:
		return truncated(ctx)
	case promised:
		return answers(http.StatusServiceUnavailable, "application/problem+json", refusalBody)(ctx)
	case refusedBare:
		return answers(http.StatusServiceUnavailable, "text/plain", "busy")(ctx)
	case answered:
		return answers(http.StatusOK, "text/plain", j.ID+" from "+b.Endpoint.ID)(ctx)
	default:
		return nil, errors.Wrap(exchanger.ErrBroken, "drawn")
	}
}

func (s *drawnSender) LeaveSilent(host.Host, time.Time) {}

// TestOutcomesAreTrue drives the dispatcher by the steps of spec/once.pml.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		execution := rapid.SampledFrom([]string{class.OnceOnly, class.OnceOnly, class.Idempotent}).Draw(t, "execution")
		s := &drawnSender{courses: rapid.SliceOfN(rapid.SampledFrom(courses), 8, 8).Draw(t, "courses")}
		b := &fakeBinder{}
		d := dispatcher.New(b, s, onePlan{},
			dispatcher.WithHedges(fixedHedger{time.Millisecond}, freeBudget{rapid.Bool().Draw(t, "hedges")}),
			dispatcher.WithRetries(freeBudget{rapid.Bool().Draw(t, "retries")}))
		j := newJob(execution)
		j.Until = j.Arrived.Add(10 * time.Millisecond)
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
		taken := s.courses[:s.sends]
		switch {
		case execution == class.OnceOnly && s.runs > 1:
			t.Fatalf("ran %d times: %v", s.runs, taken)
		case errors.Is(err, refusal.ErrNotRun) && s.runs > 0:
			t.Fatalf("told as not run, ran %d times: %v", s.runs, taken)
		case err == nil && a.Status == http.StatusOK && !strings.HasPrefix(body, j.ID+" from "):
			t.Fatalf("answered with %q: %v", body, taken)
		case err != nil && !errors.Is(err, refusal.ErrNotRun) && !errors.Is(err, refusal.ErrUnknown):
			t.Fatalf("neither not run nor unknown: %v", err)
		case b.balance() != 0:
			t.Fatalf("%d bindings left: %v", b.balance(), taken)
		}
	})
}
