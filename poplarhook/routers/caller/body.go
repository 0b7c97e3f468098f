package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"poplarhook.example/poplarhook/models/payload"
	"poplarhook.example/poplarhook/models/refusal"
)

// memory limits the memory of the bodies of all requests.
type memory interface {
	// Open starts to account for a body. Interrupt is called if the body is aborted.
	Open(interrupt func()) uint64
	// Progress records that bytes of the body have arrived.
	Progress(id uint64)
	// Reserve reserves bytes, and fails if the body has to be aborted.
	Reserve(ctx context.Context, id uint64, bytes int64) error
	// Bind keeps the complete body until it is closed, and fails if it has been aborted.
	Bind(id uint64) error
	// Close releases the memory of the body.
	Close(id uint64)
}

// unlimitedMemory has no limit.
type unlimitedMemory struct{}

func (unlimitedMemory) Open(func()) uint64 { return 0 }

func (unlimitedMemory) Progress(uint64) {}

func (unlimitedMemory) Reserve(context.Context, uint64, int64) error { return nil }

func (unlimitedMemory) Bind(uint64) error { return nil }

func (unlimitedMemory) Close(uint64) {}

// WithMemory sets what limits the memory of the bodies of all requests. Bodies must then arrive before the deadlines of
// their requests.
func WithMemory(m memory) Option {
	return func(c *Caller) { c.memory, c.boundsBodies = m, true }
}

const (
	// pieceBytes is the size of the pieces of a large body.
	pieceBytes = 64 << 10
	// firstPieceBytes is the size of the first piece of a body of unknown length. Most bodies are smaller.
	firstPieceBytes = 4 << 10
	// memoryRetryAfter is the retry time of requests that were aborted because memory is short. Aborted bodies release
	// theirs within milliseconds.
	memoryRetryAfter = time.Second
)

// bodyReader reads the body of one request in pieces that are never copied.
type bodyReader struct {
	caller *Caller
	id     uint64
	opened bool
}

// release releases the memory of the body. The body must not be used any more.
func (b *bodyReader) release() {
	if b.opened {
		b.caller.memory.Close(b.id)
	}
}

// read reads the whole body until the deadline. Its error is the refusal of the request, which was not run; the
// connection is closed then if the rest of the body may still follow.
func (b *bodyReader) read(w http.ResponseWriter, r *http.Request, deadline time.Time) (payload.Payload, error) {
	if r.ContentLength == 0 {
		return payload.Payload{}, nil
	}
	controller := http.NewResponseController(w)
	if b.caller.boundsBodies {
		// A writer without a connection, as in tests, has no deadlines.
		_ = controller.SetReadDeadline(time.Now().Add(deadline.Sub(b.caller.clock())))
	}
	b.id, b.opened = b.caller.memory.Open(func() { _ = controller.SetReadDeadline(pastDeadline) }), true
	pieces, err := b.readPieces(r.Context(), http.MaxBytesReader(w, r.Body, b.caller.maxBody()), r.ContentLength)
	// A read that was interrupted because the body was aborted ends as if the deadline had passed.
	if aborted := b.caller.memory.Bind(b.id); aborted != nil {
		w.Header().Set("Connection", "close")
		return payload.Payload{}, refusal.NotRun(http.StatusServiceUnavailable, aborted.Error()).WithRetryAfter(memoryRetryAfter)
	}
	if b.caller.boundsBodies && errors.Is(err, os.ErrDeadlineExceeded) {
		w.Header().Set("Connection", "close")
		return payload.Payload{}, refusal.NotRun(http.StatusRequestTimeout, "body did not arrive before the deadline")
	}
	if err != nil {
		return payload.Payload{}, bodyRefusal(err)
	}
	return payload.New(pieces...), nil
}

// pastDeadline is a deadline in the past: it interrupts a pending read at once.
var pastDeadline = time.Unix(1, 0)

// readPieces reads to the end of the body. The length is negative if it is not known.
func (b *bodyReader) readPieces(ctx context.Context, body io.Reader, length int64) ([][]byte, error) {
	var pieces [][]byte
	for size := int64(firstPieceBytes); ; size = min(2*size, pieceBytes) {
		if length >= 0 {
			// One byte more than the rest lets the read reach the end of the body.
			size = min(length+1, pieceBytes)
		}
		if err := b.caller.memory.Reserve(ctx, b.id, size); err != nil {
			return nil, err
		}
		piece := make([]byte, size)
		n, err := b.fill(body, piece)
		if n > 0 {
			pieces = append(pieces, piece[:n])
		}
		if errors.Is(err, io.EOF) {
			return pieces, nil
		}
		if err != nil {
			return nil, err
		}
		if length >= 0 {
			length -= int64(n)
		}
	}
}

// fill reads until the piece is full or the body ends.
func (b *bodyReader) fill(body io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var read int
		read, err = body.Read(piece[n:])
		n += read
		b.caller.memory.Progress(b.id)
	}
	return n, err
}

func bodyRefusal(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.NotRun(http.StatusRequestEntityTooLarge, "body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return refusal.NotRun(http.StatusBadRequest, "body broke off")
}
