package payload

import "io"

// Payload is the body of a request. It is not changed once it is complete, so that several attempts can send it at the
// same time.
type Payload struct {
	pieces [][]byte
	length int64
}

// New returns a Payload of the pieces, which must not be changed any more.
func New(pieces ...[]byte) Payload {
	p := Payload{pieces: pieces}
	for _, piece := range pieces {
		p.length += int64(len(piece))
	}
	return p
}

// Len returns the number of bytes.
func (p Payload) Len() int64 {
	return p.length
}

// Open returns a reader of the whole body.
func (p Payload) Open() *Reader {
	return &Reader{pieces: p.pieces}
}

// Reader reads a body, or gives its pieces to a sender that needs no copy of them.
type Reader struct {
	pieces [][]byte
	// offset is the position in the first piece.
	offset int
}

// Pieces returns the pieces of the whole body.
func (r *Reader) Pieces() [][]byte {
	return r.pieces
}

// Read reads the next bytes of the body.
func (r *Reader) Read(p []byte) (int, error) {
	for len(r.pieces) > 0 && r.offset == len(r.pieces[0]) {
		r.pieces, r.offset = r.pieces[1:], 0
	}
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.pieces[0][r.offset:])
	r.offset += n
	return n, nil
}

// Close does nothing.
func (r *Reader) Close() error {
	return nil
}
