package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errUnsolicited means that the endpoint closed a connection or sent bytes without a request.
var errUnsolicited = errors.New("endpoint closed or spoke unasked")

// pastDeadline is a deadline in the past: it interrupts pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// connection is an HTTP/1.1 connection to the endpoint. While it is idle, a watch detects when the endpoint closes it.
type connection struct {
	conn   net.Conn
	socket syscall.RawConn
	head   *headLimiter
	reader *bufio.Reader
	// confirmedAt is when the connection was opened or last became idle: the endpoint was reachable on it then.
	confirmedAt time.Time
	// lastRequestID is the id of the last request that was sent on the connection, empty if it had none.
	lastRequestID string
	// hadUnidentified is true once the connection has received a response without a request id, such as to a health
	// check. A late copy of it cannot be told from the response to a later request.
	hadUnidentified bool
	// idleTimeout is how long the endpoint keeps idle connections open according to its Keep-Alive header, zero if it
	// does not state a time.
	idleTimeout time.Duration
	// cancelWatch stops the watch of the idle connection; watchResult receives the watch's result and is nil without a
	// watch.
	cancelWatch context.CancelFunc
	watchResult chan error
}

// newConnection returns a connection that uses conn and has no watch.
func newConnection(conn net.Conn, r reserver, now time.Time) (*connection, error) {
	withSocket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("connection of type %T has no socket", conn)
	}
	socket, err := withSocket.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	head := &headLimiter{conn: conn, reserver: r}
	return &connection{conn: conn, socket: socket, head: head, reader: bufio.NewReader(head), confirmedAt: now}, nil
}

// interruptOn makes reads and writes fail when the context ends, until stop is called. Stop returns false if they were
// interrupted before.
func (c *connection) interruptOn(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(pastDeadline) })
}

// send writes the whole message. It fails with ErrNotSent if no byte was written, with ErrBroken otherwise.
func (c *connection) send(m message) error {
	n, err := m.writeTo(c.conn)
	if err == nil {
		return nil
	}
	if n == 0 {
		return errors.Wrapf(ErrNotSent, "write to %s: %v", c.conn.RemoteAddr(), err)
	}
	return errors.Wrapf(ErrBroken, "write to %s stopped after %d bytes: %v", c.conn.RemoteAddr(), n, err)
}

// receive reads the status line and header of the final response and skips interim (1xx) responses. It fails with
// errHeadTooLarge if they have more than maxHeadBytes bytes or too many lines together.
//
// A watch that was stopped but has not ended yet ends at the response's first byte, or when the connection is
// interrupted or closed.
func (c *connection) receive(request *http.Request, maxHeadBytes int) (*http.Response, error) {
	if err := c.awaitWatch(); err != nil {
		return nil, err
	}
	c.head.limit(maxHeadBytes)
	defer c.head.unlimit()
	for {
		if err := checkStatusLine(c.reader); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("endpoint switched protocols unasked")
		}
	}
}

// readIdleTimeout sets idleTimeout from the Keep-Alive header, if it has a timeout.
func (c *connection) readIdleTimeout(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}

// isRecentlyConfirmed reports whether the connection was confirmed at most maxIdleTime ago, and is not about to reach
// the endpoint's idle timeout.
func (c *connection) isRecentlyConfirmed(now time.Time, maxIdleTime time.Duration) bool {
	if c.idleTimeout > 0 {
		maxIdleTime = min(maxIdleTime, c.idleTimeout-idleTimeoutMargin)
	}
	return now.Sub(c.confirmedAt) <= maxIdleTime
}

// idleTimeoutMargin is how long before the endpoint's idle timeout a connection is no longer used: a request that is
// sent while the endpoint closes the connection is lost.
const idleTimeoutMargin = 1500 * time.Millisecond

// watch starts the watch of an idle connection. It calls onInput if the endpoint closes the connection or sends bytes
// without a request.
func (c *connection) watch(onInput func(*connection)) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancelWatch = cancel
	c.watchResult = make(chan error, 1)
	go func() { c.watchResult <- c.awaitInput(ctx, onInput) }()
}

// awaitInput waits until there is something to read, without reading it, and then calls onInput. It does not call it
// for input that comes after the watch was stopped.
func (c *connection) awaitInput(ctx context.Context, onInput func(*connection)) error {
	_ = c.socket.Read(func(fd uintptr) bool { return ctx.Err() != nil || !hasNoInput(fd) })
	if ctx.Err() == nil {
		onInput(c)
		return errUnsolicited
	}
	return nil
}

// stopWatch stops the watch without waiting for its end. On an error the connection must not be used.
func (c *connection) stopWatch() error {
	c.cancelWatch()
	if !c.isOpenWithoutInput() {
		return errUnsolicited
	}
	return nil
}

// awaitWatch waits for the end of a watch that was stopped. It returns an error if there was input before the stop.
func (c *connection) awaitWatch() error {
	if c.watchResult == nil {
		return nil
	}
	err := <-c.watchResult
	c.watchResult = nil
	return err
}

// finishWatch interrupts a watch that was stopped and waits for its end. It fails if there was input before the stop.
func (c *connection) finishWatch() error {
	if err := c.conn.SetReadDeadline(pastDeadline); err != nil {
		return err
	}
	if err := c.awaitWatch(); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Time{})
}

// isOpenWithoutInput reports whether the connection is open and has nothing to read.
func (c *connection) isOpenWithoutInput() bool {
	noInput := false
	err := c.socket.Control(func(fd uintptr) { noInput = hasNoInput(fd) })
	return err == nil && noInput
}

// hasNoInput reports whether the socket is open and a read from it would block. It reads nothing.
func hasNoInput(fd uintptr) bool {
	var probe [1]byte
	_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}
