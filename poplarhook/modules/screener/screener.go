package screener

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
)

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
			defer c.endRequest()
			requestNumber := c.markedRequests.Add(1)
			firstAmbiguous := c.firstAmbiguous.Load()
			ambiguous := firstAmbiguous > 0 && requestNumber >= firstAmbiguous
			ctx := context.WithValue(r.Context(), ambiguousKey{}, ambiguous)
			r = r.WithContext(context.WithValue(ctx, numberKey{}, requestNumber))
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
	connectionPrefix       = []byte("connection:")
	expectPrefix           = []byte("expect:")
	closeOption            = []byte("close")
	// generalOptionsPrefix starts a request that net/http answers itself, without the handler (RFC 9110, section 9.3.7).
	generalOptionsPrefix = []byte("OPTIONS * ")
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
		c.endMessage()
	}
	return n
}

func (c *conn) endLine() {
	isEmpty := len(c.lineStart) == 0
	if !isEmpty && c.part == inHeader {
		c.checkEarlyLine()
	}
	line := bytes.ToLower(bytes.TrimSpace(c.lineStart))
	switch c.part {
	case inHeader:
		c.endHeaderLine(line, isEmpty)
	case inChunkSize:
		c.endChunkSize(line)
	default:
		if isEmpty {
			c.endMessage()
		}
	}
	c.lineStart = c.lineStart[:0]
}

// endMessage ends a request whose body has been read completely.
func (c *conn) endMessage() {
	c.part = inHeader
	if !c.isGeneralOptions {
		c.endedMessages++
	}
}

// endHeaderLine handles the start of a complete line of a header section; an empty line ends the section. Empty lines
// before a header section do not belong to it.
func (c *conn) endHeaderLine(line []byte, isEmpty bool) {
	switch {
	case isEmpty && c.head.lines == 0:
		c.head, c.headText = headSize{}, c.headText[:0]
		c.emptyLines++
		return
	case isEmpty:
		c.endHeader()
		return
	case c.head.lines == 0:
		c.isGeneralOptions = bytes.HasPrefix(c.lineStart, generalOptionsPrefix)
	case bytes.HasPrefix(line, contentLengthPrefix):
		c.hasContentLength = true
		c.contentLength = parseLength(line[len(contentLengthPrefix):], decimal)
	case bytes.HasPrefix(line, transferEncodingPrefix):
		c.hasTransferEncoding = true
	case bytes.HasPrefix(line, connectionPrefix) && bytes.Contains(line, closeOption):
		c.isLastRequest = true
	}
	c.head.lines++
	if c.hasContentLength && c.hasTransferEncoding {
		c.firstAmbiguous.CompareAndSwap(0, c.completeHeaders+1)
	}
}

func (c *conn) endHeader() {
	if c.head.bytes > c.largestHead {
		c.largestHead = c.head.bytes
	}
	c.head, c.emptyLines = headSize{}, 0
	if !c.isGeneralOptions {
		c.completeHeaders++
	}
	switch {
	case c.hasTransferEncoding:
		c.part = inChunkSize
		c.blockedBehind = c.completeHeaders
	case c.contentLength > 0:
		c.part, c.remaining = inBody, c.contentLength
		c.blockedBehind = c.completeHeaders
	case !c.isGeneralOptions:
		c.endedMessages++
		c.startEarly()
	}
	c.headText, c.mayClose = c.headText[:0], false
	c.hasContentLength, c.hasTransferEncoding, c.contentLength = false, false, 0
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
