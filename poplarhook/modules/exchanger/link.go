package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errUnasked says that bytes arrived on a connection without a request.
var errUnasked = errors.New("endpoint spoke unasked")

// longAgo is a deadline that interrupts every read and write at once.
var longAgo = time.Unix(1, 0)

// link is one connection to the endpoint.
type link struct {
	conn   net.Conn
	reader *bufio.Reader
	proved time.Time
	// stopWatch and watched belong to the watch over an idle connection.
	stopWatch context.CancelFunc
	watched   chan error
}

func newLink(conn net.Conn, now time.Time) *link {
	return &link{conn: conn, reader: bufio.NewReader(conn), proved: now}
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
func (l *link) receive(request *http.Request) (*http.Response, error) {
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

// watch notices when the endpoint closes the idle connection, or speaks unasked, and then calls lost.
func (l *link) watch(lost func(*link)) {
	ctx, cancel := context.WithCancel(context.Background())
	l.stopWatch = cancel
	l.watched = make(chan error, 1)
	go func() { l.watched <- l.await(ctx, lost) }()
}

// await returns nil when the watch is stopped before anything arrives.
func (l *link) await(ctx context.Context, lost func(*link)) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.SetReadDeadline(longAgo) })
	defer stop()
	_, err := l.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() != nil {
		return nil
	}
	if err == nil {
		err = errUnasked
	}
	if ctx.Err() == nil {
		lost(l)
	}
	return err
}

// unwatch ends the watch; its error says that the connection must not be used.
func (l *link) unwatch() error {
	l.stopWatch()
	if err := <-l.watched; err != nil {
		return err
	}
	if !l.isQuiet() {
		return errUnasked
	}
	return l.conn.SetReadDeadline(time.Time{})
}

// isQuiet looks at the socket itself: a watch that was stopped in time may not have come to see what lies there.
func (l *link) isQuiet() bool {
	syscallConn, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var probe [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
	})
	return err == nil && quiet
}
