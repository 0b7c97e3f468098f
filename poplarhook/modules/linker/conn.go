package linker

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

// Layout of a yamux header.
const (
	headerSize     = 12
	headerTypeAt   = 1
	headerLengthAt = 8
	headerTypeData = 0
)

// meteredConn counts bytes at the socket and remembers when the last ones moved.
type meteredConn struct {
	net.Conn
	clock     func() time.Time
	in, out   *atomic.Uint64
	lastRead  atomic.Int64
	lastWrite atomic.Int64
	// prepaid is what the budget has allowed of the bytes to come; the others are charged to it.
	prepaid atomic.Int64
	limiter Limiter
}

func newMeteredConn(conn net.Conn, clock func() time.Time, in, out *atomic.Uint64, limiter Limiter) *meteredConn {
	m := &meteredConn{Conn: conn, clock: clock, in: in, out: out, limiter: limiter}
	now := clock().UnixNano()
	m.lastRead.Store(now)
	m.lastWrite.Store(now)
	return m
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n > 0 {
		m.in.Add(uint64(n))
		m.lastRead.Store(m.clock().UnixNano())
	}
	return n, err
}

func (m *meteredConn) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	if n > 0 {
		m.out.Add(uint64(n))
		m.lastWrite.Store(m.clock().UnixNano())
		m.charge(int64(n))
	}
	return n, err
}

// charge spends of the budget what of the written bytes it has not allowed before.
func (m *meteredConn) charge(n int64) {
	if m.limiter == nil {
		return
	}
	paid := min(n, m.prepaid.Load())
	m.prepaid.Add(-paid)
	if n > paid {
		m.limiter.Charge(m.clock(), int(n-paid))
	}
}

// joiningConn sends a yamux header together with its body. Yamux writes them apart, which
// costs a system call, and under TLS a whole record, for each frame. It has one writer.
type joiningConn struct {
	net.Conn
	held []byte
}

func (j *joiningConn) Write(p []byte) (int, error) {
	if len(j.held) == 0 && isDataHeader(p) {
		j.held = append(j.held, p...)
		return len(p), nil
	}
	if len(j.held) == 0 {
		return j.Conn.Write(p)
	}
	j.held = append(j.held, p...)
	n, err := j.Conn.Write(j.held)
	j.held = j.held[:0]
	return max(n-headerSize, 0), err
}

func isDataHeader(p []byte) bool {
	if len(p) != headerSize || p[headerTypeAt] != headerTypeData {
		return false
	}
	return binary.BigEndian.Uint32(p[headerLengthAt:]) > 0
}
