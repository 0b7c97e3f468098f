package linker

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"poplarhook.example/lib/host"
)

const (
	dialTimeout = time.Second
	// firstDialDelay lets the host with the lower id dial first, which spares most double dials.
	firstDialDelay = 150 * time.Millisecond
	minBackoff     = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// stableAfter is how long a link must last for the next dial to come at once.
	stableAfter = 5 * time.Second
)

// dialer opens a link to one wanted peer whenever there is none.
type dialer struct {
	id     string
	peer   host.Host // guarded by the linker's lock
	cancel context.CancelFunc
	lost   chan struct{}
}

func (l *Linker) runDialer(ctx context.Context, d *dialer) {
	first := time.Duration(0)
	if l.self.GetHostId() > d.id {
		first = firstDialDelay
	}
	wait, backoff := first, minBackoff
	for sleep(ctx, wait) {
		since := l.clock()
		if !l.isConnected(d.id) {
			l.dial(ctx, l.target(d))
		} else if !d.awaitLoss(ctx) {
			return
		}
		// A link that broke soon counts as a failed one, so that hosts short of processor time
		// don't spend it on handshakes.
		if l.clock().Sub(since) > stableAfter {
			backoff = minBackoff
		}
		wait = first + jitter(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// awaitLoss returns false when the context ended first.
func (d *dialer) awaitLoss(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.lost:
		return true
	}
}

// target returns where the dialer's peer is reached now.
func (l *Linker) target(d *dialer) host.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return d.peer
}

func (l *Linker) dial(ctx context.Context, peer host.Host) {
	netDialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := netDialer.DialContext(ctx, "tcp", peer.PeerAddress)
	if err != nil {
		return
	}
	l.logEnd(peer.ID, l.serve(ctx, conn, peer.ID, func() {}))
}

// jitter spreads a wait over half to one and a half of itself.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits and returns false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
