package dispatcher_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/host"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/services/dispatcher"
)

// fixedEndpointBinder binds every request to the same endpoint.
type fixedEndpointBinder struct{}

func (fixedEndpointBinder) Bind(context.Context, requirement.Requirement) (binding.Binding, error) {
	return binding.Binding{Endpoint: host.Host{ID: "a"}}, nil
}

func (fixedEndpointBinder) Finish(binding.Binding, report.Report) {}

// fixedAnswerSender gives every request the same answer.
type fixedAnswerSender struct{ fakeSender }

func (*fixedAnswerSender) Send(ctx context.Context, _ binding.Binding, _ job.Job) (*http.Response, error) {
	return answerWith(http.StatusOK, "text/plain", "ok")(ctx)
}

// BenchmarkIdempotent measures an idempotent request that is answered at its first attempt.
func BenchmarkIdempotent(b *testing.B) {
	d := dispatcher.New(fixedEndpointBinder{}, &fixedAnswerSender{}, oneGroupPlanner{},
		dispatcher.WithHedges(fixedHedgeTimer{time.Second}, fixedBudget{true}),
		dispatcher.WithRetries(fixedBudget{true}))
	b.ReportAllocs()
	for b.Loop() {
		a, err := d.Dispatch(context.Background(), newJob(class.Idempotent).WithDeadline(time.Now().Add(time.Second)))
		if err != nil {
			b.Fatal(err)
		}
		a.Close()
	}
}
