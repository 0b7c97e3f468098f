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

// errUnasked says that the endpoint closed a connection or spoke on it without a request.
var errUnasked = errors.New("endpoint closed or spoke unasked")

// longAgo is a deadline that interrupts every read and write at once.
var longAgo = time.Unix(1, 0)

// link is one connection to the endpoint.
type link struct {
	conn   net.Conn
	socket syscall.RawConn
	reader *bufio.Reader
	proved time.Time
	// idleFor is how long the endpoint says that it keeps the connection idle, zero if it does not say.
	idleFor time.Duration
	// stopWatch and watched belong to the watch over an idle connection; watched is nil while there is none.
	stopWatch context.CancelFunc
	watched   chan error
}

// newLink returns a link over the connection, without a watch.
func newLink(conn net.Conn, now time.Time) (*link, error) {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("connection of type %T has no socket", conn)
	}
	socket, err := holder.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	return &link{conn: conn, socket: socket, reader: bufio.NewReader(conn), proved: now}, nil
}

// interruptOn makes the link fail when the context ends, until stop is called.
func (l *link) interruptOn(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(longAgo) })
}

// send writes the whole message, or tells whether any byte of it left.
func (l *link) send(message []byte) error {
	n, err := l.conn.Write(message)
	if err == nil {
		return nil
	}
	if n == 0 {
		return errors.Wrapf(ErrNotSent, "write to %s: %v", l.conn.RemoteAddr(), err)
	}
	return errors.Wrapf(ErrBroken, "write to %s stopped after %d bytes: %v", l.conn.RemoteAddr(), n, err)
}

// receive reads the head of the final answer, passing over interim ones.
//
// A watch that is still there ends at the answer's first byte, or when the link is interrupted or closed.
func (l *link) receive(request *http.Request) (*http.Response, error) {
	if err := l.awaitWatch(); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(l.reader, request)
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

// learnIdle takes in what an answer says of the connection's idle time.
func (l *link) learnIdle(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			l.idleFor = time.Duration(seconds) * time.Second
		}
	}
}

// mayCarry reports whether the connection was proved recently enough for work that asks for the given age.
func (l *link) mayCarry(now time.Time, proofAge time.Duration) bool {
	if l.idleFor > 0 {
		proofAge = min(proofAge, l.idleFor-idleReserve)
	}
	return now.Sub(l.proved) <= proofAge
}

// idleReserve is how long before the endpoint's idle time a connection is left: a request that crosses its close is lost.
const idleReserve = 1500 * time.Millisecond

// watch notices when the endpoint closes the idle connection, or speaks unasked, and then calls lost.
func (l *link) watch(lost func(*link)) {
	ctx, cancel := context.WithCancel(context.Background())
	l.stopWatch = cancel
	l.watched = make(chan error, 1)
	go func() { l.watched <- l.await(ctx, lost) }()
}

// await waits until there is something to read and takes none of it; what comes after the watch was stopped is no loss.
func (l *link) await(ctx context.Context, lost func(*link)) error {
	_ = l.socket.Read(func(fd uintptr) bool { return ctx.Err() != nil || !hasNothing(fd) })
	if ctx.Err() == nil {
		lost(l)
		return errUnasked
	}
	return nil
}

// unwatch stops the watch without waiting for its end; its error says that the connection must not be used.
func (l *link) unwatch() error {
	l.stopWatch()
	if !l.isQuiet() {
		return errUnasked
	}
	return nil
}

// awaitWatch waits for the end of a watch that was stopped; its error says that the watch ended before that.
func (l *link) awaitWatch() error {
	if l.watched == nil {
		return nil
	}
	err := <-l.watched
	l.watched = nil
	return err
}

// endWatch ends a watch that was stopped before anything could be read.
func (l *link) endWatch() error {
	if err := l.conn.SetReadDeadline(longAgo); err != nil {
		return err
	}
	if err := l.awaitWatch(); err != nil {
		return err
	}
	return l.conn.SetReadDeadline(time.Time{})
}

// isQuiet reports whether the connection is open and has nothing to read.
func (l *link) isQuiet() bool {
	quiet := false
	err := l.socket.Control(func(fd uintptr) { quiet = hasNothing(fd) })
	return err == nil && quiet
}

// hasNothing reports whether reading from the socket would wait; it takes nothing from it.
func hasNothing(fd uintptr) bool {
	var probe [1]byte
	_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return errors.Is(err, syscall.EAGAIN)
}
