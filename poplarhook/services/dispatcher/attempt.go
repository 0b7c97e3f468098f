package dispatcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/modules/exchanger"
)

// errAnswerUnidentified is the error of an attempt whose answer names no request and may be a late copy of an earlier one.
var errAnswerUnidentified = errors.New("answer names no request and may belong to an earlier one on the connection")

// errAnswerMismatch is the error of an attempt whose answer belongs to another request.
var errAnswerMismatch = errors.New("answer belongs to another request")

// sendToEndpoint sends the job once to the endpoint of the binding and reads the start of the answer.
//
// The error matches refusal.ErrNotRun only if no byte was sent or the endpoint stated that it did not run the job.
func (d *Dispatcher) sendToEndpoint(ctx context.Context, j job.Job, b binding.Binding) (*answer.Answer, error) {
	sentAt := d.clock()
	if !b.ValidAt(sentAt) {
		d.counter("binding_expired")
		d.binder.Finish(b, report.Report{Cancelled: true, Unsent: true, Err: exchanger.ErrNotAttempted})
		return nil, errors.Wrap(refusal.ErrNotRun, "binding expired before sending")
	}
	if !b.Cold || j.Deadline.Sub(sentAt) <= d.coldDeadline {
		return d.exchange(ctx, j, b, sentAt)
	}
	j = j.WithDeadline(sentAt.Add(d.coldDeadline))
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	a, err := d.exchange(ctx, j, b, sentAt)
	if err != nil {
		cancel()
		return nil, err
	}
	return a.WithRelease(cancel), nil
}

func (d *Dispatcher) exchange(ctx context.Context, j job.Job, b binding.Binding, sentAt time.Time) (*answer.Answer, error) {
	got, err := d.receive(ctx, j, b)
	if err != nil {
		return nil, d.finishFailed(ctx, j, b, got.seen, sentAt, err)
	}
	response, seen := got.response, got.seen
	if got.refuses {
		d.counter("endpoint_refused")
		seen.Refused = true
		d.logger.Info("endpoint refused", zap.String("request", j.ID), zap.String("endpoint", b.Endpoint.ID), zap.Int("status", response.StatusCode),
			zap.Int("running", seen.InFlight), zap.Int("waiting", seen.Waiting), zap.Bool("misdirected", seen.Misdirected))
		d.binder.Finish(b, seen.WithResult(d.clock().Sub(sentAt), nil))
		return nil, errors.Wrapf(refusal.ErrNotRun, "endpoint %s refused", b.Endpoint.ID)
	}
	return d.finishOrStream(ctx, j, response, b, seen, sentAt, got.start, got.whole), nil
}

// received is the answer of an endpoint with the start of its body and what it says of the endpoint.
type received struct {
	response *http.Response
	seen     report.Report
	start    []byte
	whole    bool
	// refuses is true if the endpoint states that it did not run the job.
	refuses bool
}

// receive sends the job and reads the start of the answer. A panic while it does so fails this attempt and nothing else:
// hedges and retries run on goroutines of their own, where it would end the process.
func (d *Dispatcher) receive(ctx context.Context, j job.Job, b binding.Binding) (got received, err error) {
	defer func() {
		if p := recover(); p != nil {
			d.counter("attempt_panicked")
			err = errors.Errorf("panic while the answer was read: %v", p)
		}
	}()
	got.response, err = d.sender.Send(ctx, b, j) //nolint:bodyclose // readStart or the answer's release closes it
	if err != nil {
		return got, err
	}
	got.seen = d.reader.Report(j, got.response)
	got.seen.Closing = got.seen.Closing || got.response.Close
	d.observe(b, got.seen)
	if err = d.checkBelongs(got); err != nil {
		// Closing the unread body closes the connection: the answer to the job may still come on it.
		_ = got.response.Body.Close()
		return got, err
	}
	got.start, got.whole, err = readStart(got.response.Body)
	got.refuses = err == nil && got.whole && d.reader.Refuses(got.response, got.start)
	return got, err
}

// checkBelongs returns an error unless the answer belongs to the job that was sent.
func (d *Dispatcher) checkBelongs(got received) error {
	switch {
	case got.seen.Mismatched:
		d.counter("answer_mismatched")
		return errAnswerMismatch
	case got.seen.Unidentified && exchanger.MayBeStray(got.response):
		d.counter("answer_unidentified")
		return errAnswerUnidentified
	default:
		return nil
	}
}

// finishOrStream returns the answer of the endpoint, with its whole body or with a reader of the rest.
//
// The binding ends at once if the whole body was read, else when the answer is released. An answer that breaks off
// counts as a failure of the endpoint.
func (d *Dispatcher) finishOrStream(ctx context.Context, j job.Job, response *http.Response, b binding.Binding, seen report.Report, sentAt time.Time, start []byte, whole bool) *answer.Answer {
	a := answer.Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Start:  start,
		Length: response.ContentLength,
	}
	if whole {
		a.Length = int64(len(start))
		if response.Request != nil && response.Request.Method == http.MethodHead {
			a.Length = response.ContentLength
		}
		d.binder.Finish(b, seen.WithResult(d.clock().Sub(sentAt), nil))
		return &a
	}
	rest := &restReader{ReadCloser: response.Body}
	a.Rest = rest
	return a.WithRelease(func() {
		if rest.err != nil {
			_ = d.finishFailed(ctx, j, b, seen, sentAt, rest.err)
			return
		}
		d.binder.Finish(b, seen.WithResult(d.clock().Sub(sentAt), nil))
	})
}

// restReader reads the rest of a body and keeps the error with which it broke off.
type restReader struct {
	io.ReadCloser
	err error
}

// Read reads from the body.
func (r *restReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// finishFailed ends the binding of a failed attempt.
//
// The error that it returns says whether the endpoint may have run the job.
func (d *Dispatcher) finishFailed(ctx context.Context, j job.Job, b binding.Binding, seen report.Report, sentAt time.Time, err error) error {
	notAttempted := errors.Is(err, exchanger.ErrNotAttempted)
	seen.Cancelled = notAttempted || ctx.Err() != nil
	seen.Unsent = notAttempted || errors.Is(err, exchanger.ErrNotSent)
	seen = seen.WithResult(d.clock().Sub(sentAt), err)
	d.binder.Finish(b, seen)
	d.logger.Warn("attempt failed", zap.String("request", j.ID), zap.String("endpoint", b.Endpoint.ID), zap.String("incarnation", b.Endpoint.Incarnation),
		zap.Bool("unsent", seen.Unsent), zap.String("ended_by", endedBy(ctx)), zap.Duration("took", seen.Latency), zap.String("error", err.Error()))
	if seen.Unsent {
		d.counter("attempt_not_sent")
		return errors.Wrapf(refusal.ErrNotRun, "endpoint %s: %v", b.Endpoint.ID, err)
	}
	if seen.Cancelled && seen.Latency < suspectAfter {
		d.counter("attempt_given_up")
	} else {
		d.counter("attempt_broken")
		d.sender.CloseIdleConnections(b.Endpoint, sentAt)
	}
	return errors.Wrapf(refusal.ErrUnknown, "endpoint %s: %v", b.Endpoint.ID, err)
}

// errSuperseded is the cancel cause of an attempt that was cancelled because another attempt answered first.
var errSuperseded = errors.New("another attempt answered first")

// endedBy returns, for the log, what ended an attempt without a complete answer: the endpoint, another attempt that
// answered first, the deadline or the caller.
func endedBy(ctx context.Context) string {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return "endpoint"
	case errors.Is(cause, errSuperseded):
		return "quicker_attempt"
	case errors.Is(cause, context.DeadlineExceeded):
		return "deadline"
	default:
		return "caller"
	}
}

// readStart reads up to bufferSize bytes and reports whether that was the whole body.
func readStart(body io.ReadCloser) (start []byte, whole bool, err error) {
	start, err = io.ReadAll(io.LimitReader(body, bufferSize))
	if err != nil {
		_ = body.Close()
		return nil, false, err
	}
	if len(start) < bufferSize {
		return start, true, nil
	}
	return start, false, nil
}
