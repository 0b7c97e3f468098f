package screener

import (
	"bytes"
	"context"
	"os"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

const (
	// aheadBytes is how many bytes are read at once while net/http waits for the end of the connection.
	aheadBytes = 1 << 10
	// maxAheadBytes is how many bytes are read in all meanwhile. The end of a connection is not noticed behind more.
	maxAheadBytes = 4 << 10
	// maxEarlyRequests is how many requests of a connection may be started before they are handled.
	maxEarlyRequests = 8
	// maxEarlyHead is the size of the largest head of a request that is started early.
	maxEarlyHead = 4 << 10
)

// WithEarlyStart makes connections read on while a request is handled, and start each request without a body that
// arrives meanwhile. Start is called with the head of the request; its result, nil if no work was started, is passed to
// the request's handler. The context ends with the connection.
//
// net/http handles the requests of a connection one after the other, so that a request that was sent before the response
// to the previous one would wait for it.
func WithEarlyStart(start func(ctx context.Context, head []byte) any) Option {
	return func(s *Screener) { s.start = start }
}

// EarlyResult returns what the early start of the request of the context returned, nil if there was none.
func EarlyResult(ctx context.Context) any {
	number, found := ctx.Value(numberKey{}).(int64)
	c, hasConn := ctx.Value(connKey{}).(*conn)
	if !found || !hasConn {
		return nil
	}
	return c.early.take(number)
}

// numberKey is the key of the number of a request on its connection, counted from 1.
type numberKey struct{}

// earlyStarts are the requests of a connection that were started before they are handled.
type earlyStarts struct {
	// ctx ends with the connection; it is nil if requests are not started early.
	ctx    context.Context //nolint:containedctx // the requests live as long as the connection
	cancel context.CancelFunc

	mu sync.Mutex
	// results are what the starts returned, by the number of the request.
	results map[int64]any
	// ended is true once no further request may be started early.
	ended bool
}

// newEarlyStarts returns the early starts of a connection.
func newEarlyStarts(c *conn) *earlyStarts {
	e := &earlyStarts{results: make(map[int64]any)}
	e.ctx, e.cancel = context.WithCancel(context.WithValue(context.Background(), connKey{}, c))
	return e
}

// add starts the request with the number unless too many are started already, and reports whether it was started.
func (e *earlyStarts) add(number int64, head []byte, start func(ctx context.Context, head []byte) any) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || len(e.results) >= maxEarlyRequests {
		return false
	}
	result := start(e.ctx, append([]byte(nil), head...))
	if result != nil {
		e.results[number] = result
	}
	return result != nil
}

// take removes and returns the result of the early start of the request with the number, nil if there was none.
func (e *earlyStarts) take(number int64) any {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result := e.results[number]
	delete(e.results, number)
	return result
}

// end prevents further early starts, so that the response to the request with the number may close the connection. It
// reports false, and changes nothing, while a later request is started.
func (e *earlyStarts) end(number int64) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for started := range e.results {
		if started > number {
			return false
		}
	}
	e.ended = true
	return true
}

// startEarly starts the request whose head has ended if an earlier one is not answered yet. No request is started behind
// one whose response may close the connection: because of its head, as with HTTP/1.0, because of its body, or because it
// was not started itself, so that it may still be refused.
func (c *conn) startEarly() {
	if c.early == nil || c.isLastRequest {
		return
	}
	line, _, _ := bytes.Cut(c.headText, []byte("\n"))
	if !bytes.HasSuffix(bytes.TrimSpace(line), []byte("HTTP/1.1")) {
		c.isLastRequest = true
		return
	}
	answered := c.answered.Load()
	if c.mayClose {
		c.blockedBehind = c.completeHeaders
	}
	if answered >= c.completeHeaders-1 {
		return
	}
	if c.blockedBehind > answered || len(c.headText) >= maxEarlyHead || !c.early.add(c.completeHeaders, c.headText, c.screener.start) {
		c.blockedBehind = c.completeHeaders
	}
}

// checkEarlyLine checks whether the line that has ended prevents early starts.
func (c *conn) checkEarlyLine() {
	line := bytes.ToLower(c.lineStart)
	isCut := len(line) == maxKeptLine
	switch {
	case c.head.lines > 0 && (line[0] == ' ' || line[0] == '\t'), isCut && bytes.HasPrefix(line, contentLengthPrefix):
		// net/http may find a length in such a line that was not found here, and with it another end of the request.
		c.isLastRequest = true
	case bytes.HasPrefix(line, expectPrefix), isCut && bytes.HasPrefix(line, connectionPrefix):
		c.mayClose = true
	}
}

// isReadInBackground reports whether a read of one byte is one with which net/http detects the end of the connection. Such
// a read has no deadline, and the current request was read to its end.
func (c *conn) isReadInBackground() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.early != nil && c.waiting > 0 && c.readDeadline.IsZero()
}

// readAhead reads what arrives while a request is handled until net/http interrupts it, the buffer is full or the
// connection ends. It returns the first byte, and the next reads return the rest. If the byte were returned at once,
// net/http would read no more and not notice the end of the connection.
func (c *conn) readAhead(p []byte) (int, error) {
	ahead := append(make([]byte, 0, aheadBytes), c.unread...)
	for len(ahead) < maxAheadBytes {
		ahead = slices.Grow(ahead, 1)
		n, err := c.readSocket(ahead[len(ahead):min(cap(ahead), maxAheadBytes)])
		c.keepViolation(c.scan(ahead[len(ahead) : len(ahead)+n]))
		ahead = ahead[:len(ahead)+n]
		c.unread = ahead
		isInterrupted := errors.Is(err, os.ErrDeadlineExceeded)
		if isInterrupted && len(ahead) > 0 {
			break
		}
		if err != nil {
			if !isInterrupted {
				c.early.cancel()
			}
			return 0, err
		}
	}
	return c.readUnread(p), nil
}

// readInBackground makes a read of one byte that may be one in the background, and returns the first byte that has
// arrived. The rest is returned by the next reads.
func (c *conn) readInBackground(p []byte) (int, error) {
	if c.early == nil {
		n, err := c.readSocket(p)
		c.keepViolation(c.scan(p[:n]))
		return n, err
	}
	ahead := make([]byte, aheadBytes)
	n, err := c.readSocket(ahead)
	c.keepViolation(c.scan(ahead[:n]))
	copied := copy(p, ahead[:n])
	c.unread = ahead[copied:n]
	return copied, err
}

// readUnread returns what readInBackground has read, and zero if nothing is left.
func (c *conn) readUnread(p []byte) int {
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	return n
}
