package screener

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// freeHeadBytes is how many bytes of a head are read without a reservation of memory. Nearly all heads are smaller.
	freeHeadBytes = 4 << 10
	// headCost and lineCost are the memory that a byte and a line of a head take at most once they are parsed.
	headCost = 2
	lineCost = 128
	// headSlackBytes is how much larger than the limit a head may be, so that it does not matter whether a client counts
	// the request line.
	headSlackBytes = 4 << 10
	// headSlackTime is how much longer than the limit a head may take, for the time on the network.
	headSlackTime = 500 * time.Millisecond
	// maxEmptyLines is how many empty lines may come before a request. Some old clients send one after a body.
	maxEmptyLines = 8
	// refusalTime bounds the time to write a refusal to a client that may not read it.
	refusalTime = 100 * time.Millisecond
)

// Refusals of requests whose head is not read to its end. Such a request has not run.
const (
	refusalHeadTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusalMemoryShort  = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var (
	errHeadTooLarge = errors.New("head of the request is too large")
	errEmptyLines   = errors.New("too many empty lines before a request")
	errMemoryShort  = errors.New("memory for heads is short")
	errClosing      = errors.New("connection is closed between requests")
)

// pastDeadline is a deadline in the past: it interrupts a pending read at once.
var pastDeadline = time.Unix(1, 0)

// headSize is the size of the part of a head that was read.
type headSize struct {
	bytes int
	lines int
}

// memory returns how much memory the head takes beyond what is free.
func (s headSize) memory() int64 {
	if s.bytes <= freeHeadBytes {
		return 0
	}
	return int64(headCost*s.bytes + lineCost*s.lines)
}

// conn inspects the start of each line of a header section and skips bodies. It bounds heads, and it closes itself between
// requests on demand.
type conn struct {
	net.Conn
	screener *Screener
	// firstAmbiguous is the number, counted from 1, of the first ambiguous header section, and zero if there is none.
	firstAmbiguous atomic.Int64
	// markedRequests is the number of requests of the connection that MarkAmbiguous has handled.
	markedRequests atomic.Int64

	// The following fields are used only by the goroutine that reads from the connection.
	//
	// part is the part of the message that the next byte belongs to.
	part messagePart
	// remaining is how many bytes of the current body or chunk are still to be skipped.
	remaining int64
	// lineStart holds the first bytes of the current line, at most maxKeptLine.
	lineStart           []byte
	hasContentLength    bool
	hasTransferEncoding bool
	// isGeneralOptions is true if the current request is one that net/http answers itself.
	isGeneralOptions bool
	contentLength    int64
	// completeHeaders is the number of header sections that have ended, and endedMessages that of requests whose body
	// has ended too.
	completeHeaders int64
	endedMessages   int64
	// head is the size of the current head, and largestHead that of the largest one that ended in the last read.
	head        headSize
	largestHead int
	emptyLines  int
	// headDeadline is when the current head must have been read, zero between heads.
	headDeadline time.Time
	// reserved is the memory of the current head.
	reserved int64
	// violation is the reason to close the connection once the requests before are answered.
	violation error

	// headText holds the start of the current head, at most maxEarlyHead bytes, if requests are started early, and unread
	// what was inspected but not returned by Read yet.
	headText []byte
	unread   []byte
	// isLastRequest is true after the head of a request whose response closes the connection, or whose end may be elsewhere
	// than was found here.
	isLastRequest bool
	// mayClose is true in the head of a request whose response may close the connection.
	mayClose bool
	// blockedBehind is the number of the last request behind which no other may be started before it is answered.
	blockedBehind int64

	// early are the requests that were started before they are handled, nil if that is off.
	early *earlyStarts
	// answered is the number of requests of the connection that MarkAmbiguous has handled to their end.
	answered atomic.Int64
	// muted is true once the connection must be closed without a further response.
	muted atomic.Bool

	// reading is held while the connection is read. hasEnded is true once the client has closed its sending direction, and
	// hasFailed once the connection has failed.
	reading   sync.Mutex
	hasEnded  atomic.Bool
	hasFailed atomic.Bool

	mu sync.Mutex
	// unanswered is the number of requests whose head was read and that have not been answered, and waiting that of
	// those whose body was read too.
	unanswered int64
	waiting    int64
	// isInHead is true while a part of a head was read.
	isInHead bool
	// hasHadRequest is true once a head was read completely. idleSince is when the connection was accepted or its last
	// request answered.
	hasHadRequest bool
	idleSince     time.Time
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
	// closing is true if the connection must be closed once no request is unanswered; until closeAt it may still
	// complete the head of one.
	closing bool
	closeAt time.Time
	// account is the id of the reservation of memory, and hasAccount true if there is one.
	account    uint64
	hasAccount bool
	// lastWrite is the time of the last write, zero before the first.
	lastWrite time.Time
	// closed is true after Close, and resets if the connection ends with a reset.
	closed bool
	resets bool
	// endLingering ends the wait for the client that Close has started at closedAt, nil without one and once it was called.
	endLingering context.CancelFunc
	closedAt     time.Time
}

// backgroundReadBytes is the size of the reads with which net/http detects the end of the connection while a request is in
// progress. Such a read may fall into the time in which the response is written.
const backgroundReadBytes = 1

// Read reads from the connection and inspects the bytes that it returns.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == backgroundReadBytes && c.isReadInBackground() {
		return c.readAhead(p)
	}
	if n := c.readUnread(p); n > 0 {
		return n, nil
	}
	if len(p) == backgroundReadBytes {
		return c.readInBackground(p)
	}
	if err := c.prepareRead(); err != nil {
		return 0, c.closeSilently(err)
	}
	n, err := c.readSocket(p)
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.hasOwnDeadlinePassed() {
			return 0, c.closeSilently(err)
		}
		return n, err
	}
	v := c.scan(p[:n])
	if v.reason != nil && (v.inNewHead || !c.isBusy()) {
		return 0, c.closeSilently(c.refuse(v.reason))
	}
	c.keepViolation(v)
	return n, err
}

// violation says that a client exceeds a limit.
type violation struct {
	reason error
	// inNewHead is true if no request before it is unanswered, although the head may be complete.
	inNewHead bool
}

// keepViolation keeps the violation until the requests before it are answered.
func (c *conn) keepViolation(v violation) {
	if c.violation == nil {
		c.violation = v.reason
	}
}

// closeSilently returns the error of a read for which net/http closes the connection, and suppresses the response that
// net/http would send if a part of a line was read: a client would take status 400 for final.
func (c *conn) closeSilently(err error) error {
	c.muted.Store(true)
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// readSocket reads from the socket until the connection is closed.
func (c *conn) readSocket(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
	case errors.Is(err, io.EOF):
		c.hasEnded.Store(true)
	default:
		c.hasFailed.Store(true)
	}
	return n, err
}

// Write writes to the connection, or does nothing after closeSilently.
func (c *conn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.writeSocket(p, c.screener.writeTimeout)
}

// writeSocket writes to the socket until the connection is closed.
func (c *conn) writeSocket(p []byte, timeout time.Duration) (int, error) {
	if err := c.beginWrite(timeout); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.lastWrite = c.screener.clock()
	c.mu.Unlock()
	return n, err
}

// beginWrite sets the deadline of a write, and fails if the connection is closed.
func (c *conn) beginWrite(timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.lastWrite = c.screener.clock()
	return c.SetWriteDeadline(time.Now().Add(timeout))
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// isBusy reports whether a request has to be answered.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

// hasOwnDeadlinePassed reports whether a read between requests failed because of a deadline of the connection, not of one
// that the server has set.
func (c *conn) hasOwnDeadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered == 0 && (c.closing || c.readDeadline.IsZero() || time.Now().Before(c.readDeadline))
}

// prepareRead fails if no more may be read, and sets the deadline of a head that was read in part.
func (c *conn) prepareRead() error {
	c.mu.Lock()
	unanswered, closing := c.unanswered, c.mustClose()
	c.mu.Unlock()
	switch {
	case unanswered > 0:
		return nil
	case closing:
		return errClosing
	case c.violation != nil:
		return c.refuse(c.violation)
	case c.muted.Load():
		return errClosing
	case c.part == inHeader && c.head.bytes > 0:
		if c.headDeadline.IsZero() {
			c.headDeadline = c.screener.clock().Add(c.screener.limits().HeadTime + headSlackTime)
		}
		return c.limitHeadTime()
	}
	return nil
}

// limitHeadTime sets the deadline of the head that was read in part, unless the server has set an earlier one.
func (c *conn) limitHeadTime() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.closing || !c.readDeadline.IsZero() && c.readDeadline.Before(c.headDeadline) {
		return nil
	}
	return c.Conn.SetReadDeadline(c.headDeadline)
}

// mustClose reports whether the connection must not be read any more. It needs the lock.
func (c *conn) mustClose() bool {
	return c.closing && c.unanswered == 0 && (c.closeAt.IsZero() || !c.screener.clock().Before(c.closeAt))
}

// scan inspects bytes that were read and returns how they exceed a limit.
func (c *conn) scan(p []byte) violation {
	headers, messages := c.completeHeaders, c.endedMessages
	c.largestHead = 0
	c.scanBytes(p)
	isInHead := c.part == inHeader && c.head.bytes > 0
	hasEndedHead := c.completeHeaders > headers
	c.mu.Lock()
	wasIdle := c.unanswered == 0
	c.unanswered += c.completeHeaders - headers
	c.waiting += c.endedMessages - messages
	c.isInHead = isInHead
	c.hasHadRequest = c.hasHadRequest || hasEndedHead
	c.mu.Unlock()
	if hasEndedHead {
		c.headDeadline = time.Time{}
	}
	if !isInHead && c.largestHead == 0 && c.emptyLines == 0 {
		return violation{}
	}
	return c.checkHeads(wasIdle, hasEndedHead)
}

// checkHeads checks the heads that were read last. If the connection was idle before, the first of them that has ended
// is the one that had been read in part.
func (c *conn) checkHeads(wasIdle, hasEndedHead bool) violation {
	limit := c.screener.limits().HeadBytes + headSlackBytes
	switch {
	case c.largestHead > limit:
		return violation{errHeadTooLarge, wasIdle}
	case c.head.bytes > limit:
		return violation{errHeadTooLarge, false}
	case c.emptyLines > maxEmptyLines:
		return violation{errEmptyLines, false}
	case wasIdle:
		return violation{c.reserveHead(hasEndedHead), true}
	default:
		return violation{}
	}
}

// reserveHead reserves the memory of a large head. A head that is complete keeps it until its request is answered.
func (c *conn) reserveHead(complete bool) error {
	if bytes := c.head.memory(); bytes > c.reserved {
		c.openAccount()
		if c.screener.memory.Reserve(context.Background(), c.account, bytes-c.reserved) != nil {
			return errMemoryShort
		}
		c.reserved = bytes
	}
	if !complete || c.reserved == 0 {
		return nil
	}
	c.reserved = 0
	if c.screener.memory.Bind(c.account) != nil {
		return errMemoryShort
	}
	return nil
}

// openAccount opens the account of the memory of heads if there is none.
func (c *conn) openAccount() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasAccount {
		c.account, c.hasAccount = c.screener.memory.Open(c.interruptSocket), true
	}
}

// refuse counts a connection that is closed because of its client, and writes the refusal for the reason, if there is one.
func (c *conn) refuse(reason error) error {
	text := ""
	switch {
	case errors.Is(reason, errHeadTooLarge):
		c.screener.count("head_too_large")
		text = refusalHeadTooLarge
	case errors.Is(reason, errMemoryShort):
		c.screener.count("head_memory_short")
		text = refusalMemoryShort
	default:
		c.screener.count("empty_lines")
	}
	c.screener.log(reason)
	c.violation = nil
	_, _ = c.writeSocket([]byte(text), refusalTime)
	return reason
}

// endRequest records that a request was answered.
func (c *conn) endRequest() {
	c.answered.Add(1)
	c.mu.Lock()
	c.unanswered = max(c.unanswered-1, 0)
	// It is below zero for a moment if the request was answered before its body was read.
	c.waiting--
	c.idleSince = c.screener.clock()
	release := func() {}
	if c.unanswered == 0 {
		release = c.detachAccount()
	}
	c.mu.Unlock()
	release()
}

// detachAccount ends the use of the account of the memory of heads and returns the function that closes it. It needs the
// lock, but the function must be called without it: the limiter calls SetReadDeadline, which takes that lock, while it
// holds its own.
func (c *conn) detachAccount() func() {
	if !c.hasAccount {
		return func() {}
	}
	c.hasAccount = false
	account := c.account
	return func() { c.screener.memory.Close(account) }
}

// hasFurtherRequest reports whether another request than the current one was read completely.
func (c *conn) hasFurtherRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting > 1
}

// SetReadDeadline sets the deadline of reads. It is in the past if the connection must be closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.closed {
		return net.ErrClosed
	}
	if c.closing && c.unanswered == 0 {
		t = c.closeDeadline()
	}
	return c.Conn.SetReadDeadline(t)
}

// closeDeadline returns the deadline of reads of a connection that must be closed. It needs the lock.
func (c *conn) closeDeadline() time.Time {
	if c.closeAt.IsZero() {
		return pastDeadline
	}
	return c.closeAt
}

func (c *conn) scanBytes(p []byte) {
	for len(p) > 0 {
		if c.part == inBody || c.part == inChunk {
			p = p[c.skipBody(int64(len(p))):]
			continue
		}
		b := p[0]
		p = p[1:]
		if c.part == inHeader {
			c.head.bytes++
			if c.early != nil && len(c.headText) < maxEarlyHead {
				c.headText = append(c.headText, b)
			}
		}
		switch {
		case b == '\n':
			c.endLine()
		case b != '\r' && len(c.lineStart) < maxKeptLine:
			c.lineStart = append(c.lineStart, b)
		}
	}
}
