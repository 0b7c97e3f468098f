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
	once          sync.Once
}

// Read reads the response body. It fails with ErrBroken if the body is truncated, and with ErrTrailingBytes if more
// bytes follow and that is not allowed.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		b.finish(false)
		return n, errors.Wrapf(ErrBroken, "read body from %s: %v", b.exchanger.address, err)
	}
	if b.connection.reader.Buffered() > 0 {
		b.exchanger.countTrailingBytes()
		b.finish(false)
		if b.exchanger.allowTrailingBytes {
			return n, io.EOF
		}
		return n, errors.Wrapf(ErrTrailingBytes, "%s", b.exchanger.address)
	}
	b.finish(true)
	return n, io.EOF
}

// Close closes the connection unless the body was read to its end.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(clean bool) {
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
