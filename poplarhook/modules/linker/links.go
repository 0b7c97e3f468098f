package linker

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/wire"
)

func (l *Linker) findLink(id string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[id]
}

func (l *Linker) hasLink(id string) bool {
	return l.findLink(id) != nil
}

// startDialers starts a dialer for each peer that has none. The caller holds l.mu.
func (l *Linker) startDialers(runCtx context.Context) {
	if runCtx == nil || l.closed {
		return
	}
	for _, peer := range l.peers {
		d := l.dialers[peer.ID]
		if d != nil {
			// An existing link stays open when the address changes; the next dial uses the new address.
			d.peer = peer
			continue
		}
		ctx, cancel := context.WithCancel(runCtx)
		d = &dialer{hostID: peer.ID, peer: peer, cancel: cancel, linkLost: make(chan struct{}, 1)}
		l.dialers[peer.ID] = d
		l.running.Go(func() { l.runDialer(ctx, d) })
	}
}

// removePeer stops the dialer of a host that is no longer a peer, and closes the link to it. The caller holds l.mu.
func (l *Linker) removePeer(id string, d *dialer) {
	d.cancel()
	delete(l.dialers, id)
	if k := l.links[id]; k != nil {
		l.removeLink(k)
		k.close()
	}
}

// register makes the link the active one of its host, or refuses it and keeps the link that is already active. If both
// hosts dialed each other, both keep the link that the host with the lower id dialed, unless the peer's incarnation
// has changed: then the new link replaces the old one. The returned channel is closed after the link hook was called
// for the loss of the host's earlier link; it is nil if there is nothing to wait for.
func (l *Linker) register(k *link) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := k.hello.GetHostId()
	old := l.links[id]
	if old != nil && !l.shouldReplace(k, old) {
		return nil, errors.Wrapf(ErrRefused, "second link to %s", id)
	}
	l.links[id] = k
	previous := l.pendingLosses[id]
	l.pendingLosses[id] = k.lossReported
	if old != nil {
		old.close()
		return previous, nil
	}
	l.logger.Info("peer connected", zap.String("host_id", id))
	return previous, nil
}

// shouldReplace reports whether link k may replace the old link to the same host: the host's incarnation has changed,
// or the host with the lower id dialed k or did not dial the old link.
func (l *Linker) shouldReplace(k, old *link) bool {
	if k.hello.GetIncarnation() != old.hello.GetIncarnation() {
		return true
	}
	self := l.self.GetHostId()
	lower := min(self, k.hello.GetHostId())
	return k.dialedBy(self) == lower || old.dialedBy(self) != lower
}

// unregister removes the link and calls the link hook for its loss.
func (l *Linker) unregister(k *link) {
	id := k.hello.GetHostId()
	l.mu.Lock()
	l.removeLink(k)
	l.mu.Unlock()
	l.linkHook(id, false)
	close(k.lossReported)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingLosses[id] == k.lossReported {
		delete(l.pendingLosses, id)
	}
}

// removeLink removes the link if it is its host's active one, and wakes the dialer. The caller holds l.mu.
func (l *Linker) removeLink(k *link) {
	id := k.hello.GetHostId()
	if l.links[id] != k {
		return
	}
	delete(l.links, id)
	l.logger.Info("peer disconnected", zap.String("host_id", id))
	if d := l.dialers[id]; d != nil {
		select {
		case d.linkLost <- struct{}{}:
		default:
		}
	}
}

// accept accepts and serves connections from other hosts. It refuses new ones while maxHandshakes are in progress.
func (l *Linker) accept(ctx context.Context, listener net.Listener) error {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) && ctx.Err() == nil {
			return errors.Wrap(err, "accept peers")
		}
		if err != nil {
			if !sleep(ctx, minBackoff) {
				return nil
			}
			continue
		}
		select {
		case handshakes <- struct{}{}:
		default:
			l.refused.Add(1)
			conn.Close()
			continue
		}
		l.running.Go(func() {
			handshakeDone := sync.OnceFunc(func() { <-handshakes })
			defer handshakeDone()
			l.logRefusal(conn.RemoteAddr().String(), l.serve(ctx, conn, "", handshakeDone))
		})
	}
}

func (l *Linker) logRefusal(peer string, err error) {
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrTooLarge) {
		l.logger.Debug("link refused", zap.String("peer", peer), zap.String("error", err.Error()))
	}
}

// monitor checks periodically for links that need a keepalive or have been silent for too long.
func (l *Linker) monitor(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last := l.clock()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := l.clock()
		overdue := max(now.Sub(last)-checkInterval, 0)
		last = now
		l.checkLinks(now, overdue)
	}
}

// checkLinks closes silent links and sends keepalives on idle ones. The time by which the check was overdue does not
// count as silence: this process may not have run then, and received bytes may have waited unread.
func (l *Linker) checkLinks(now time.Time, overdue time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, k := range l.links {
		k.conn.lastReadUnixNano.Add(int64(overdue))
		if now.UnixNano()-k.conn.lastReadUnixNano.Load() > int64(l.silenceTimeout) {
			l.timedOut.Add(1)
			l.logger.Info("peer silent", zap.String("host_id", id))
			l.removeLink(k)
			k.close()
			continue
		}
		if now.UnixNano()-k.conn.lastWriteUnixNano.Load() >= int64(keepaliveAfter) {
			l.keepalive(k)
		}
	}
}

// keepalive queues an empty frame, which the receiver ignores.
func (l *Linker) keepalive(k *link) {
	empty, err := encodeFrame(&wire.Frame{})
	if err != nil {
		return
	}
	empty.replaceable = true
	if _, err := k.outbox.enqueue(empty); err != nil {
		l.dropped.Add(1)
	}
}
