package linker

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// Layout of a yamux frame header; sizes and offsets are in bytes.
const (
	headerSize     = 12
	headerTypeAt   = 1
	headerLengthAt = 8
	headerTypeData = 0
)

// meteredConn counts the bytes of a socket, records the times of the last read and write and charges written bytes to
// the control budget.
type meteredConn struct {
	net.Conn
	clock             func() time.Time
	in, out           *atomic.Uint64
	lastReadUnixNano  atomic.Int64
	lastWriteUnixNano atomic.Int64
	// prepaidBytes is the number of bytes that the limiter has already allowed. Bytes written beyond it are charged.
	prepaidBytes atomic.Int64
	limiter      Limiter
}

func newMeteredConn(conn net.Conn, clock func() time.Time, in, out *atomic.Uint64, limiter Limiter) *meteredConn {
	m := &meteredConn{Conn: conn, clock: clock, in: in, out: out, limiter: limiter}
	now := clock().UnixNano()
	m.lastReadUnixNano.Store(now)
	m.lastWriteUnixNano.Store(now)
	return m
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.in.Add(uint64(n))
		m.lastReadUnixNano.Store(m.clock().UnixNano())
	}
	return n, err
}

func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	if n > 0 {
		m.out.Add(uint64(n))
		m.lastWriteUnixNano.Store(m.clock().UnixNano())
		m.chargeUnpaidBytes(int64(n))
	}
	return n, err
}

// chargeUnpaidBytes charges the limiter for the written bytes that it did not allow beforehand.
func (m *meteredConn) chargeUnpaidBytes(n int64) {
	if m.limiter == nil {
		return
	}
	alreadyAllowed := min(n, m.prepaidBytes.Load())
	m.prepaidBytes.Add(-alreadyAllowed)
	if n > alreadyAllowed {
		m.limiter.Charge(m.clock(), int(n-alreadyAllowed))
	}
}

// coalescingConn writes a yamux header together with its body. Yamux writes them separately, which
// costs an extra system call, and with TLS an extra record, for each frame. Only one goroutine may write to it.
type coalescingConn struct {
	net.Conn
	pendingHeader []byte
}

func (j *coalescingConn) Write(p []byte) (int, error) {
	if len(j.pendingHeader) == 0 && isDataHeader(p) {
		j.pendingHeader = append(j.pendingHeader, p...)
		return len(p), nil
	}
	if len(j.pendingHeader) == 0 {
		return j.Conn.Write(p)
	}
	j.pendingHeader = append(j.pendingHeader, p...)
	n, err := j.Conn.Write(j.pendingHeader)
	j.pendingHeader = j.pendingHeader[:0]
	return max(n-headerSize, 0), err
}

func isDataHeader(p []byte) bool {
	if len(p) != headerSize || p[headerTypeAt] != headerTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[headerLengthAt:]) > 0
}
