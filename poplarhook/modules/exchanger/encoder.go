package exchanger

import (
	"bytes"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// pieceHolder is a request body that gives its pieces, so that they need not be copied.
type pieceHolder interface {
	Pieces() [][]byte
}

// maxCopiedBytes is up to which size a body is copied behind the head. One write of few bytes costs less than a write
// of several buffers.
const maxCopiedBytes = 8 << 10

// message is an encoded request. The pieces of a large body follow the start, without a copy.
type message struct {
	start  []byte
	pieces [][]byte
}

// encode returns the message for the request.
func encode(request *http.Request) (message, error) {
	var start bytes.Buffer
	holder, ok := request.Body.(pieceHolder)
	if !ok || request.ContentLength <= maxCopiedBytes {
		if err := request.Write(&start); err != nil {
			return message{}, err
		}
		return message{start: start.Bytes()}, nil
	}
	head := *request
	end := &headEnd{}
	head.Body = end
	if err := head.Write(&start); err != nil && !end.reached {
		return message{}, err
	}
	return message{start: start.Bytes(), pieces: holder.Pieces()}, nil
}

// writeTo writes the message. A message in one part needs no vectored write, which costs allocations.
func (m message) writeTo(conn net.Conn) (int64, error) {
	if len(m.pieces) == 0 {
		n, err := conn.Write(m.start)
		return int64(n), err
	}
	buffers := make(net.Buffers, 0, len(m.pieces)+1)
	buffers = append(append(buffers, m.start), m.pieces...)
	return buffers.WriteTo(conn)
}

// errHeadEnd ends the encoding of a request after its head.
var errHeadEnd = errors.New("end of the head")

// headEnd is a body that fails at its first read and records that the head was written before.
type headEnd struct{ reached bool }

// Read fails with errHeadEnd.
func (h *headEnd) Read([]byte) (int, error) {
	h.reached = true
	return 0, errHeadEnd
}

// Close does nothing.
func (h *headEnd) Close() error {
	return nil
}
