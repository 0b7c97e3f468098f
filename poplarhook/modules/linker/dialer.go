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
	// higherIDDialDelay is how long the host with the higher id waits before it dials. The host with the lower id
	// dials first, so that usually only one of the two opens a connection.
	higherIDDialDelay = 150 * time.Millisecond
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 2 * time.Second
	// stableLinkDuration is how long a link must last for the dial backoff to be reset.
	stableLinkDuration = 5 * time.Second
)

// dialer opens a link to one configured peer whenever there is none.
type dialer struct {
	hostID   string
	peer     host.Host // guarded by Linker.mu
	cancel   context.CancelFunc
	linkLost chan struct{}
}

func (l *Linker) runDialer(ctx context.Context, d *dialer) {
	dialDelay := time.Duration(0)
	if l.self.GetHostId() > d.hostID {
		dialDelay = higherIDDialDelay
	}
	wait, backoff := dialDelay, minBackoff
	for sleep(ctx, wait) {
		startedAt := l.clock()
		if !l.hasLink(d.hostID) {
			l.dial(ctx, l.currentPeer(d))
		} else if !d.awaitLinkLoss(ctx) {
			return
		}
		// A link that was lost early does not reset the backoff, so that hosts with little CPU time
		// don't spend it on handshakes.
		if l.clock().Sub(startedAt) > stableLinkDuration {
			backoff = minBackoff
		}
		wait = dialDelay + addJitter(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// awaitLinkLoss waits until the link is lost and returns false if the context ends first.
func (d *dialer) awaitLinkLoss(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-d.linkLost:
		return true
	}
}

// currentPeer returns the dialer's peer with its latest address.
func (l *Linker) currentPeer(d *dialer) host.Host {
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
	l.logRefusal(peer.ID, l.serve(ctx, conn, peer.ID, func() {}))
}

// addJitter returns a random duration between half of d and one and a half times d.
func addJitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// sleep waits for the duration and returns false if the context ends first.
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
