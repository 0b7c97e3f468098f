package exchanger

import (
	"bytes"
	"net"

	"github.com/pkg/errors"
)

// errHeadTooLarge means that the head of an answer, with the interim responses before it, is larger than allowed.
var errHeadTooLarge = errors.New("head of the answer is too large")

const (
	// defaultMaxHeadBytes is how many bytes the head of an answer may have.
	defaultMaxHeadBytes = 64 << 10
	// maxHeadLines is how many lines the head of an answer may have. A header takes several times its size in memory, so
	// a limit in bytes alone does not bound the memory for many short ones.
	maxHeadLines = 256
	// freeHeadBytes is how many bytes of a head are read without a reservation. Nearly all heads are smaller.
	freeHeadBytes = 4 << 10
)

// reserver limits the memory of the large heads that are read at the same time.
type reserver interface {
	Reserve(bytes int) bool
	Release(bytes int)
}

// unlimitedReserver is a reserver that always has bytes left.
type unlimitedReserver struct{}

func (unlimitedReserver) Reserve(int) bool { return true }

func (unlimitedReserver) Release(int) {}

// headLimiter reads from a connection and, while it is limited, fails once too much was read.
//
// A limited read returns bytes of the body too if they come together with the end of the head, but no further read
// follows then. So all bytes that were returned before a limited read belong to the head.
type headLimiter struct {
	conn      net.Conn
	reserver  reserver
	isLimited bool
	bytesLeft int
	linesLeft int
	// freeLeft is how many more bytes need no reservation; reserved is the sum of the reservations.
	freeLeft int
	reserved int
}

// limit bounds the bytes and lines that are read until unlimit is called.
func (l *headLimiter) limit(maxBytes int) {
	l.isLimited, l.bytesLeft, l.linesLeft, l.freeLeft = true, maxBytes, maxHeadLines, freeHeadBytes
}

func (l *headLimiter) unlimit() {
	l.isLimited = false
	l.reserver.Release(l.reserved)
	l.reserved = 0
}

// Read reads from the connection. While it is limited, it fails with errHeadTooLarge once the limit is reached or no
// memory for a large head is left.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.conn.Read(p)
	}
	if l.bytesLeft <= 0 || l.linesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	p = p[:min(len(p), l.bytesLeft)]
	isFree := l.freeLeft > 0
	if !isFree && !l.reserver.Reserve(len(p)) {
		return 0, errors.Wrap(errHeadTooLarge, "too many large heads at once")
	}
	n, err := l.conn.Read(p)
	if !isFree {
		l.reserver.Release(len(p) - n)
		l.reserved += n
	}
	l.bytesLeft -= n
	l.freeLeft -= n
	l.linesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}
