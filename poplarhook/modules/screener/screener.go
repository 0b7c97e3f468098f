package screener

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
)

// Screener is a listener whose connections notice a head with both Content-Length and Transfer-Encoding.
//
// net/http drops the length of such a request and serves it, so that a handler
// cannot see what a balancer before it may have read otherwise (RFC 9112,
// section 6.1). Only heads are looked at: a body may hold any lines.
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

type verdictKey struct{}

// Judge keeps for each request whether its own head, or an earlier one of its connection, had two lengths.
//
// Heads are read ahead of their requests, so the connection alone cannot tell
// which of them the present one has.
func Judge(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, screened := r.Context().Value(contextKey{}).(*conn); screened {
			number := c.requests.Add(1)
			first := c.firstAmbiguous.Load()
			ambiguous := first > 0 && number >= first
			r = r.WithContext(context.WithValue(r.Context(), verdictKey{}, ambiguous))
		}
		next.ServeHTTP(w, r)
	})
}

// IsAmbiguous reports whether the request was judged to have two lengths, or without a judgement whether its connection
// has carried such a head.
func IsAmbiguous(ctx context.Context) bool {
	if ambiguous, judged := ctx.Value(verdictKey{}).(bool); judged {
		return ambiguous
	}
	c, screened := ctx.Value(contextKey{}).(*conn)
	return screened && c.firstAmbiguous.Load() > 0
}

var (
	contentLength    = []byte("content-length:")
	transferEncoding = []byte("transfer-encoding:")
)

// keptLine is how much of a line is kept: a name with its colon and the largest length.
const keptLine = 64

// part is the part of a message that the next byte belongs to.
type part int

const (
	inHead part = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
)

// conn looks at the start of each line of a head and passes over bodies.
type conn struct {
	net.Conn
	// firstAmbiguous is the number of the first head with two lengths, from 1, zero while there was none.
	firstAmbiguous atomic.Int64
	// requests is how many requests of the connection were judged.
	requests atomic.Int64

	// The reader of the connection alone uses these.
	part part
	// left is how many bytes of a body or chunk follow.
	left        int64
	start       []byte
	hasLength   bool
	hasEncoding bool
	length      int64
	// heads is how many heads have ended.
	heads int64
}

// Read reads from the connection and screens what was read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.screen(p[:n])
	return n, err
}

func (c *conn) screen(p []byte) {
	for len(p) > 0 {
		if c.part == inBody || c.part == inChunk {
			p = p[c.pass(int64(len(p))):]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case b == '\n':
			c.endLine()
		case b != '\r' && len(c.start) < keptLine:
			c.start = append(c.start, b)
		}
	}
}

// pass passes over at most n bytes of a body or chunk and returns how many those were.
func (c *conn) pass(n int64) int64 {
	n = min(n, c.left)
	c.left -= n
	if c.left > 0 {
		return n
	}
	if c.part == inChunk {
		c.part = inChunkSize
	} else {
		c.part = inHead
	}
	return n
}

func (c *conn) endLine() {
	line := bytes.ToLower(bytes.TrimSpace(c.start))
	c.start = c.start[:0]
	switch c.part {
	case inHead:
		c.endHeadLine(line)
	case inChunkSize:
		c.endChunkSize(line)
	default:
		if len(line) == 0 {
			c.part = inHead
		}
	}
}

// endHeadLine takes in the start of a line of the head; an empty line ends the head.
func (c *conn) endHeadLine(line []byte) {
	switch {
	case len(line) == 0:
		c.endHead()
		return
	case bytes.HasPrefix(line, contentLength):
		c.hasLength = true
		c.length = number(line[len(contentLength):], decimal)
	case bytes.HasPrefix(line, transferEncoding):
		c.hasEncoding = true
	}
	if c.hasLength && c.hasEncoding {
		c.firstAmbiguous.CompareAndSwap(0, c.heads+1)
	}
}

func (c *conn) endHead() {
	switch {
	case c.hasEncoding:
		c.part = inChunkSize
	case c.length > 0:
		c.part, c.left = inBody, c.length
	}
	c.hasLength, c.hasEncoding, c.length = false, false, 0
	c.heads++
}

// crlf is how many bytes end a chunk.
const crlf = 2

func (c *conn) endChunkSize(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n := number(size, hexadecimal)
	if n == 0 {
		c.part = inTrailer
		return
	}
	c.part, c.left = inChunk, n+crlf
}

const (
	decimal     = 10
	hexadecimal = 16
)

// number returns the length in the text, zero for one that net/http refuses anyway.
func number(text []byte, base int) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), base, 64)
	if err != nil || n < 0 {
		return 0
	}
	return n
}
