package exchanger

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// body is an answer's body that gives its connection back only after a clean end.
type body struct {
	exchanger *Exchanger
	link      *link
	stop      func() bool
	source    io.ReadCloser
	keep      bool
	once      sync.Once
}

// Read reads the answer and fails with ErrExcess or ErrBroken instead of ending short.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	if err != io.EOF {
		b.finish(false)
		return n, errors.Wrapf(ErrBroken, "read body from %s: %v", b.exchanger.address, err)
	}
	if b.link.reader.Buffered() > 0 {
		b.exchanger.countExcess()
		b.finish(false)
		if b.exchanger.surplus {
			return n, io.EOF
		}
		return n, errors.Wrapf(ErrExcess, "%s", b.exchanger.address)
	}
	b.finish(true)
	return n, io.EOF
}

// Close abandons what was not read; its connection is then closed.
func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(clean bool) {
	b.once.Do(func() {
		uninterrupted := b.stop()
		if clean && b.keep && uninterrupted {
			b.exchanger.keep(b.link)
			return
		}
		b.exchanger.discard(b.link)
	})
}

func (e *Exchanger) countExcess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Exceeded++
}
