package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// longAgo is a deadline that interrupts every read and write at once.
var longAgo = time.Unix(1, 0)

// link is one connection to the endpoint.
type link struct {
	conn   net.Conn
	reader *bufio.Reader
	proved time.Time
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

// quiet reports whether the idle connection is open with nothing to read.
func (l *link) quiet() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
