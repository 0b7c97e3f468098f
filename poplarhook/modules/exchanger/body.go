package exchanger

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// body is a response body that makes its connection idle again only if it was read to a clean end.
type body struct {
	exchanger     *Exchanger
	connection    *connection
	stopInterrupt func() bool
	source        io.ReadCloser
	reusable      bool
	// mayBeStray is true if the response may be a late copy of an earlier one.
	mayBeStray bool
	once       sync.Once
}

// Read reads the response body. It fails with ErrBroken if the body is truncated, and with ErrTrailingBytes if more
// bytes follow and that is not allowed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		b.releaseConnection(false)
		return n, errors.Wrapf(ErrBroken, "read body from %s: %v", b.exchanger.address, err)
	}
	if b.connection.reader.Buffered() > 0 {
		b.exchanger.countTrailingBytes()
		b.releaseConnection(false)
		if b.exchanger.allowTrailingBytes {
			return n, io.EOF
		}
		return n, errors.Wrapf(ErrTrailingBytes, "%s", b.exchanger.address)
	}
	b.releaseConnection(true)
	return n, io.EOF
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.releaseConnection(false)
	return nil
}

// releaseConnection makes the connection idle if the body ended cleanly, the connection is reusable and the context did
// not interrupt it; otherwise it closes the connection. Only the first call has an effect.
func (b *body) releaseConnection(clean bool) {
	b.once.Do(func() {
		uninterrupted := b.stopInterrupt()
		if clean && b.reusable && uninterrupted {
			b.exchanger.makeIdle(b.connection)
			return
		}
		b.exchanger.discard(b.connection)
	})
}

func (e *Exchanger) countTrailingBytes() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.TrailingBytes++
}
