package screener

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Screener is a listener that detects request headers with both Content-Length and Transfer-Encoding.
//
// net/http drops the Content-Length of such a request and serves it. A handler
// therefore cannot see that a load balancer in front of this host may have found
// a different end of the request (RFC 9112, section 6.1). Only header sections are
// inspected, because a body may contain any lines.
type Screener struct {
	net.Listener
}

// New returns a Screener that accepts connections from the listener.
func New(listener net.Listener) *Screener {
	return &Screener{Listener: listener}
}

// Accept waits for the next connection and returns it with detection enabled.
func (s *Screener) Accept() (net.Conn, error) {
	accepted, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests; it is meant for the field http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

type ambiguousKey struct{}

// MarkAmbiguous records in the context of each request whether it is ambiguous.
//
// A request is ambiguous if its own header section, or an earlier one of its
// connection, had both Content-Length and Transfer-Encoding. Header sections are
// read before their requests are handled, so requests are counted to find the
// header section that belongs to each of them.
func MarkAmbiguous(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, found := r.Context().Value(connKey{}).(*conn); found {
			requestNumber := c.markedRequests.Add(1)
			firstAmbiguous := c.firstAmbiguous.Load()
			ambiguous := firstAmbiguous > 0 && requestNumber >= firstAmbiguous
			r = r.WithContext(context.WithValue(r.Context(), ambiguousKey{}, ambiguous))
		}
		next.ServeHTTP(w, r)
	})
}

// IsAmbiguous reports whether the request of the context is ambiguous.
//
// Without a result recorded by MarkAmbiguous, it reports whether any header section read
// from the connection so far had both Content-Length and Transfer-Encoding.
func IsAmbiguous(ctx context.Context) bool {
	if ambiguous, found := ctx.Value(ambiguousKey{}).(bool); found {
		return ambiguous
	}
	c, found := ctx.Value(connKey{}).(*conn)
	return found && c.firstAmbiguous.Load() > 0
}

var (
	contentLengthPrefix    = []byte("content-length:")
	transferEncodingPrefix = []byte("transfer-encoding:")
)

// maxKeptLine is how many bytes of a line are kept, enough for a header name, the colon and the largest length.
const maxKeptLine = 64

// messagePart is the part of an HTTP message that the next byte belongs to.
type messagePart int

const (
	inHeader messagePart = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// conn inspects the start of each line of a header section and skips bodies.
type conn struct {
	net.Conn
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
	contentLength       int64
	// completeHeaders is the number of header sections that have ended.
	completeHeaders int64
}

// Read reads from the connection and inspects the bytes that it returns.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scanBytes(p[:n])
	return n, err
}

func (c *conn) scanBytes(p []byte) {
	for len(p) > 0 {
		if c.part == inBody || c.part == inChunk {
			p = p[c.skipBody(int64(len(p))):]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case b == '\n':
			c.endLine()
		case b != '\r' && len(c.lineStart) < maxKeptLine:
			c.lineStart = append(c.lineStart, b)
		}
	}
}

// skipBody skips at most n bytes of a body or chunk and returns how many it skipped.
func (c *conn) skipBody(n int64) int64 {
	n = min(n, c.remaining)
	c.remaining -= n
	if c.remaining > 0 {
		return n
	}
	if c.part == inChunk {
		c.part = inChunkSize
	} else {
		c.part = inHeader
	}
	return n
}

func (c *conn) endLine() {
	line := bytes.ToLower(bytes.TrimSpace(c.lineStart))
	c.lineStart = c.lineStart[:0]
	switch c.part {
	case inHeader:
		c.endHeaderLine(line)
	case inChunkSize:
		c.endChunkSize(line)
	default:
		if len(line) == 0 {
			c.part = inHeader
		}
	}
}

// endHeaderLine handles the start of a complete line of a header section; an empty line ends the section.
func (c *conn) endHeaderLine(line []byte) {
	switch {
	case len(line) == 0:
		c.endHeader()
		return
	case bytes.HasPrefix(line, contentLengthPrefix):
		c.hasContentLength = true
		c.contentLength = parseLength(line[len(contentLengthPrefix):], decimal)
	case bytes.HasPrefix(line, transferEncodingPrefix):
		c.hasTransferEncoding = true
	}
	if c.hasContentLength && c.hasTransferEncoding {
		c.firstAmbiguous.CompareAndSwap(0, c.completeHeaders+1)
	}
}

func (c *conn) endHeader() {
	switch {
	case c.hasTransferEncoding:
		c.part = inChunkSize
	case c.contentLength > 0:
		c.part, c.remaining = inBody, c.contentLength
	}
	c.hasContentLength, c.hasTransferEncoding, c.contentLength = false, false, 0
	c.completeHeaders++
}

// crlfLength is the number of bytes of the line end after a chunk.
const crlfLength = 2

func (c *conn) endChunkSize(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n := parseLength(size, hexadecimal)
	if n == 0 {
		c.part = inTrailer
		return
	}
	c.part, c.remaining = inChunk, n+crlfLength
}

const (
	decimal     = 10
	hexadecimal = 16
)

// parseLength parses a length; it returns zero for a length that is invalid, because net/http refuses the request.
func parseLength(text []byte, base int) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), base, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// lingerer is a connection whose close can be set to discard unsent data.
type lingerer interface {
	SetLinger(seconds int) error
}

// SetLinger sets how the connection is closed: with zero seconds, by a reset. It does nothing if the inspected
// connection cannot be closed so.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
