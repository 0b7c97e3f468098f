package responder

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/standin/execution"
	"poplarhook.example/standin/gatekeeper"
	"poplarhook.example/standin/queuer"
)

const maxBodyBytes = 64 << 20

// errShed refuses a request that was not run.
var errShed = errors.New("request shed")

// arrival is a request as it arrived.
type arrival struct {
	at            time.Time
	deadline      time.Time
	receivedBytes int64
}

func (r *Responder) serveWork(w http.ResponseWriter, request *http.Request) {
	arrived, err := r.receive(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	entered, err := r.admit(request)
	if err == nil {
		err = r.run(request, arrived, entered.life)
		// Before the answer leaves: its receiver may send the next request at once.
		r.leave(entered)
	}
	switch {
	case err == nil:
		r.answer(w, request, arrived, entered.life.incarnation)
	case errors.Is(err, errShed):
		r.refuse(w)
	default:
		panic(http.ErrAbortHandler)
	}
}

// receive reads the whole body, without which net/http does not see the caller leave.
func (r *Responder) receive(request *http.Request) (arrival, error) {
	arrived := arrival{at: r.clock()}
	timeout, given, err := parseTimeout(request.Header.Get("Grpc-Timeout"))
	if err != nil {
		return arrival{}, err
	}
	if given {
		arrived.deadline = arrived.at.Add(timeout)
	}
	arrived.receivedBytes, err = io.Copy(io.Discard, io.LimitReader(request.Body, maxBodyBytes))
	return arrived, errors.Wrap(err, "body")
}

func (r *Responder) admit(request *http.Request) (ticket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := request.Context().Value(connKey{}).(net.Conn); ok && gatekeeper.IsCut(c) {
		return ticket{}, errRestarted
	}
	entered, err := r.enter(r.clock())
	r.note()
	return entered, err
}

func (r *Responder) leave(entered ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entered.leave()
	r.note()
}

// run waits for a slot and does the work; only a request that got its slot counts as an execution.
func (r *Responder) run(request *http.Request, arrived arrival, l *life) error {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	stop := l.atEnd(cancel)
	defer stop()
	start, err := r.acquire(ctx, arrived, l)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		l.queue.Release(start)
		return r.cancelled(ctx)
	}
	work, index := r.beginExecution(request, l)
	free := r.pacer.Finish(start, work)
	completed := r.wait(ctx, free)
	if !completed {
		free = r.clock()
	}
	l.queue.Release(free)
	r.endExecution(index, l, completed)
	if !completed {
		return context.Cause(ctx)
	}
	return nil
}

func (r *Responder) acquire(ctx context.Context, arrived arrival, l *life) (time.Time, error) {
	waiting := ctx
	if !arrived.deadline.IsZero() {
		var cancel context.CancelFunc
		waiting, cancel = context.WithTimeout(ctx, arrived.deadline.Sub(r.clock()))
		defer cancel()
	}
	start, err := l.queue.Acquire(waiting, arrived.at)
	switch {
	case err == nil && waiting.Err() != nil && ctx.Err() == nil:
		l.queue.Release(start)
		return time.Time{}, errShed
	case err == nil:
		return start, nil
	case ctx.Err() != nil:
		return time.Time{}, r.cancelled(ctx)
	case errors.Is(err, queuer.ErrFull), errors.Is(err, context.DeadlineExceeded):
		return time.Time{}, errShed
	default:
		return time.Time{}, err
	}
}

func (r *Responder) cancelled(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.CancelledInQueue++
	return context.Cause(ctx)
}

// wait returns true when the work is done, false when the context ended first.
func (r *Responder) wait(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(until.Sub(r.clock()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginExecution records that a request begins to run and returns its work and the record's index.
func (r *Responder) beginExecution(request *http.Request, l *life) (time.Duration, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	factor := r.settings.SlowFactor
	if l.cold {
		factor *= r.coldFactor
	}
	marker := request.Header.Get("X-Marker")
	if marker == "" {
		marker = request.URL.Query().Get("marker")
	}
	r.executions = append(r.executions, execution.Execution{
		RequestID:     request.Header.Get("X-Request-Id"),
		EndpointID:    r.host.ID,
		Class:         request.Header.Get("X-Request-Class"),
		Method:        request.Method,
		Path:          request.URL.Path,
		Marker:        marker,
		Incarnation:   l.incarnation,
		StartedUnixUS: r.clock().UnixMicro(),
	})
	return time.Duration(float64(r.pacer.Draw()) * factor), len(r.executions) - 1
}

func (r *Responder) endExecution(index int, l *life, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[index].FinishedUnixUS = r.clock().UnixMicro()
	r.executions[index].Completed = completed
	if completed {
		r.warm(l)
	}
}
