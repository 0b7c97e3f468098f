package caller

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"reflect"
	"sync"

	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
)

// earlyRequest is a request whose dispatch has started before the earlier requests of its connection are answered.
type earlyRequest struct {
	request *http.Request
	job     job.Job
	done    chan struct{}
	cancel  context.CancelFunc

	// answer and err are set before done is closed.
	answer *answer.Answer
	err    error

	// returnSlot returns the slot of the request.
	returnSlot func()

	mu sync.Mutex
	// claimed is true once a handler or the end of the connection is responsible for the answer and the slot.
	claimed bool
}

// StartEarly dispatches the request with the given head, which has no body, if it is idempotent and a slot is free. It
// returns nil otherwise. The result is meant for the function of WithEarlyResults. The answer is discarded if the context
// ends before the request is handled.
//
// It serves callers that send several requests on a connection before the first one is answered.
func (c *Caller) StartEarly(ctx context.Context, head []byte) (started any) {
	// It runs outside of a handler, so net/http does not recover a panic, which would end the process.
	defer func() {
		if fault := recover(); fault != nil {
			c.logPanic(fault)
			started = nil
		}
	}()
	if c.classifier() == nil || c.isAmbiguous(ctx) {
		return nil
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	request = request.WithContext(ctx)
	e := &earlyRequest{request: request, done: make(chan struct{}), cancel: cancel, returnSlot: c.returnSlot}
	e.job, err = c.readJob(discardedHeader{}, request, c.clock(), &bodyReader{caller: c})
	if err != nil || e.job.Class.IsOnceOnly() || !c.takeSlot() {
		cancel()
		return nil
	}
	go c.runEarly(ctx, e)
	return e
}

// discardedHeader takes the header of a refusal that the handler of the request will decide on again.
type discardedHeader struct{ http.ResponseWriter }

// Header returns an empty header.
func (discardedHeader) Header() http.Header { return make(http.Header) }

// takeSlot takes a slot for a request in progress and reports whether one was free.
func (c *Caller) takeSlot() bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (c *Caller) returnSlot() {
	<-c.slots
}

// runEarly dispatches the request. A panic ends only the request, as in a handler of net/http.
func (c *Caller) runEarly(ctx context.Context, e *earlyRequest) {
	defer func() {
		if fault := recover(); fault != nil {
			c.logPanic(fault)
			e.err = refusal.Unknown("the request failed on this host")
		}
		close(e.done)
		context.AfterFunc(ctx, e.discard)
	}()
	e.answer, e.err = c.dispatcher.Dispatch(ctx, e.job)
}

func (c *Caller) logPanic(fault any) {
	c.logger.Error("panic in a request that was started early", zap.Any("panic", fault), zap.Stack("stack"))
}

// claim reports whether the caller is the first to claim the answer, and so has to close it.
func (e *earlyRequest) claim() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	claimed := e.claimed
	e.claimed = true
	return !claimed
}

// discard closes the answer and returns the slot unless the answer was claimed.
func (e *earlyRequest) discard() {
	if !e.claim() {
		return
	}
	defer e.returnSlot()
	if e.answer != nil {
		e.answer.Close()
	}
}

// end returns the slot after the answer was written, and forgets the request, which the context of the connection would
// hold with its answer otherwise.
func (e *earlyRequest) end() {
	e.returnSlot()
	e.cancel()
}

// takeEarly waits for the early dispatch of the request and returns it. It returns nil if there was none, or if that was
// for another request.
func (c *Caller) takeEarly(r *http.Request) *earlyRequest {
	e, started := c.earlyResult(r.Context()).(*earlyRequest)
	if !started {
		return nil
	}
	if !e.isFor(r) {
		e.cancel()
		return nil
	}
	<-e.done
	if !e.claim() {
		return &earlyRequest{job: e.job, err: refusal.Unknown("the caller closed the connection"), returnSlot: func() {}, cancel: e.cancel}
	}
	return e
}

// isFor reports whether the early request is the same as the one that net/http has read.
func (e *earlyRequest) isFor(r *http.Request) bool {
	return e.request.Method == r.Method && e.request.RequestURI == r.RequestURI && e.request.Host == r.Host &&
		r.ContentLength == 0 && reflect.DeepEqual(e.request.Header, r.Header)
}
