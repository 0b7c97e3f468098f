package screener

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
)

// Screener is a listener whose connections notice a head with both Content-Length and Transfer-Encoding.
//
// net/http drops the length of such a request and serves it, so that a handler
// cannot see what a balancer before it may have read otherwise (RFC 9112,
// section 6.1). Lines are looked at wherever they stand between two empty
// lines, so a body that holds both header lines in one paragraph is noticed too.
type Screener struct {
	net.Listener
}

// New returns a Screener over the listener.
func New(listener net.Listener) *Screener {
	return &Screener{Listener: listener}
}

// Accept returns the next connection, screened.
func (s *Screener) Accept() (net.Conn, error) {
	accepted, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

type contextKey struct{}

// ConnContext keeps the connection for IsAmbiguous; it is for http.Server's field of that name.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// IsAmbiguous reports whether the request's connection has carried a head with two lengths.
func IsAmbiguous(ctx context.Context) bool {
	c, screened := ctx.Value(contextKey{}).(*conn)
	return screened && c.ambiguous.Load()
}

var (
	contentLength    = []byte("content-length:")
	transferEncoding = []byte("transfer-encoding:")
)

// longestName is the length of the longer name with its colon.
const longestName = len("transfer-encoding:")

// conn looks at the start of each line that is read.
type conn struct {
	net.Conn
	ambiguous atomic.Bool

	// The reader of the connection alone uses these.
	start       []byte
	hasLength   bool
	hasEncoding bool
}

// Read reads from the connection and screens what was read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, b := range p[:n] {
		c.screen(b)
	}
	return n, err
}

func (c *conn) screen(b byte) {
	switch {
	case b == '\n':
		c.endLine()
	case b != '\r' && len(c.start) < longestName:
		c.start = append(c.start, b)
	}
}

// endLine takes in the start of a whole line; an empty line ends a head.
func (c *conn) endLine() {
	line := bytes.ToLower(c.start)
	c.start = c.start[:0]
	if len(line) == 0 {
		c.hasLength, c.hasEncoding = false, false
		return
	}
	c.hasLength = c.hasLength || bytes.HasPrefix(line, contentLength)
	c.hasEncoding = c.hasEncoding || bytes.HasPrefix(line, transferEncoding)
	if c.hasLength && c.hasEncoding {
		c.ambiguous.Store(true)
	}
}
