package responder

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/standin/acceptor"
	"poplarhook.example/standin/execution"
	"poplarhook.example/standin/queuer"
)

const maxBodyBytes = 64 << 20

// errShed means that a request is refused and was not run.
var errShed = errors.New("request shed")

// arrival holds the arrival time, deadline and body size of a request.
type arrival struct {
	at            time.Time
	deadline      time.Time
	receivedBytes int64
}

func (r *Responder) serveWork(w http.ResponseWriter, request *http.Request) {
	arrived, err := r.receiveRequest(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	admitted, err := r.admitRequest(request)
	if err == nil {
		err = r.runRequest(request, arrived, admitted.incarnation)
		// The release comes before the answer is sent, because the caller may send its next request as soon as it has the
		// answer.
		r.releaseAdmission(admitted)
	}
	switch {
	case err == nil:
		r.writeAnswer(w, request, arrived, admitted.incarnation.id)
	case errors.Is(err, errShed):
		r.writeShed(w)
	default:
		panic(http.ErrAbortHandler)
	}
}

// receiveRequest reads the whole body of the request, because net/http detects that the caller has disconnected only
// after that.
func (r *Responder) receiveRequest(request *http.Request) (arrival, error) {
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

// admitRequest admits a request unless the endpoint has reset its connection, and records the new load.
func (r *Responder) admitRequest(request *http.Request) (admission, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := request.Context().Value(connKey{}).(net.Conn); ok && acceptor.WasReset(c) {
		return admission{}, errRestarted
	}
	admitted, err := r.admitLocked(r.clock())
	r.recordLoad()
	return admitted, err
}

func (r *Responder) releaseAdmission(admitted admission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	admitted.endRequest()
	r.recordLoad()
}

// runRequest waits for a slot and simulates the work; only a request that got a slot counts as an execution.
func (r *Responder) runRequest(request *http.Request, arrived arrival, inc *incarnation) error {
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	stop := inc.cancelAtEnd(cancel)
	defer stop()
	start, err := r.acquireSlot(ctx, arrived, inc)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		inc.queue.Release(start)
		return r.countCancelled(ctx)
	}
	work, index := r.beginExecution(request, inc)
	freeSince := r.pacer.Finish(start, work)
	completed := r.waitUntil(ctx, freeSince)
	if !completed {
		freeSince = r.clock()
	}
	inc.queue.Release(freeSince)
	r.endExecution(index, inc, completed)
	if !completed {
		return context.Cause(ctx)
	}
	return nil
}

// acquireSlot waits for a slot until the deadline of the request, and returns the time from which the request has the
// slot. It returns errShed if the queue is full or the deadline has passed.
func (r *Responder) acquireSlot(ctx context.Context, arrived arrival, inc *incarnation) (time.Time, error) {
	queueCtx := ctx
	if !arrived.deadline.IsZero() {
		var cancel context.CancelFunc
		queueCtx, cancel = context.WithTimeout(ctx, arrived.deadline.Sub(r.clock()))
		defer cancel()
	}
	start, err := inc.queue.Acquire(queueCtx, arrived.at)
	switch {
	case err == nil && queueCtx.Err() != nil && ctx.Err() == nil:
		inc.queue.Release(start)
		return time.Time{}, errShed
	case err == nil:
		return start, nil
	case ctx.Err() != nil:
		return time.Time{}, r.countCancelled(ctx)
	case errors.Is(err, queuer.ErrFull), errors.Is(err, context.DeadlineExceeded):
		return time.Time{}, errShed
	default:
		return time.Time{}, err
	}
}

// countCancelled counts a request that was cancelled before it ran, and returns the cause.
func (r *Responder) countCancelled(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.CancelledInQueue++
	return context.Cause(ctx)
}

// waitUntil returns true when the time is reached, and false when the context ends first.
func (r *Responder) waitUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(deadline.Sub(r.clock()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginExecution records that a request starts to run, and returns its service time and the index of the record.
func (r *Responder) beginExecution(request *http.Request, inc *incarnation) (time.Duration, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	factor := r.settings.SlowFactor
	if inc.cold {
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
		Incarnation:   inc.id,
		StartedUnixUS: r.clock().UnixMicro(),
	})
	return time.Duration(float64(r.pacer.Draw()) * factor), len(r.executions) - 1
}

func (r *Responder) endExecution(index int, inc *incarnation, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions[index].FinishedUnixUS = r.clock().UnixMicro()
	r.executions[index].Completed = completed
	if completed {
		r.countAnswer(inc)
	}
}
