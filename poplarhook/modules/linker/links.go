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

func (l *Linker) find(id string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[id]
}

func (l *Linker) isConnected(id string) bool {
	return l.find(id) != nil
}

// startDialers starts one dialer for each wanted peer without one. The caller holds the lock.
func (l *Linker) startDialers(running context.Context) {
	if running == nil || l.closed {
		return
	}
	for _, peer := range l.wanted {
		d := l.dialers[peer.ID]
		if d != nil {
			// A link in use stays when the address changes; the next dial takes the new one.
			d.peer = peer
			continue
		}
		ctx, cancel := context.WithCancel(running)
		d = &dialer{id: peer.ID, peer: peer, cancel: cancel, lost: make(chan struct{}, 1)}
		l.dialers[peer.ID] = d
		l.running.Go(func() { l.runDialer(ctx, d) })
	}
}

// drop ends the dialer and the link of a host. The caller holds the lock.
func (l *Linker) drop(id string, d *dialer) {
	d.cancel()
	delete(l.dialers, id)
	if k := l.links[id]; k != nil {
		l.forget(k)
		k.close()
	}
}

// register puts the link in use, or refuses it in favour of the one in use. Of two links to
// one incarnation that were dialed from both ends, both ends keep the one that the host with
// the lower id dialed. The channel closes once the loss of the host's earlier link was told.
func (l *Linker) register(k *link) (<-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := k.peer.GetHostId()
	old := l.links[id]
	if old != nil && !l.replaces(k, old) {
		return nil, errors.Wrapf(ErrRefused, "second link to %s", id)
	}
	l.links[id] = k
	previous := l.ends[id]
	l.ends[id] = k.ended
	if old != nil {
		old.close()
		return previous, nil
	}
	l.logger.Info("peer connected", zap.String("host_id", id))
	return previous, nil
}

func (l *Linker) replaces(k, old *link) bool {
	if k.peer.GetIncarnation() != old.peer.GetIncarnation() {
		return true
	}
	self := l.self.GetHostId()
	lower := min(self, k.peer.GetHostId())
	return k.dialedBy(self) == lower || old.dialedBy(self) != lower
}

// unregister takes the link out of use and tells of its loss.
func (l *Linker) unregister(k *link) {
	id := k.peer.GetHostId()
	l.mu.Lock()
	l.forget(k)
	l.mu.Unlock()
	l.hook(id, false)
	close(k.ended)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ends[id] == k.ended {
		delete(l.ends, id)
	}
}

// forget takes the link out of use. The caller holds the lock.
func (l *Linker) forget(k *link) {
	id := k.peer.GetHostId()
	if l.links[id] != k {
		return
	}
	delete(l.links, id)
	l.logger.Info("peer disconnected", zap.String("host_id", id))
	if d := l.dialers[id]; d != nil {
		select {
		case d.lost <- struct{}{}:
		default:
		}
	}
}

// accept serves the connections that other hosts open.
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
			greeted := sync.OnceFunc(func() { <-handshakes })
			defer greeted()
			l.logEnd(conn.RemoteAddr().String(), l.serve(ctx, conn, "", greeted))
		})
	}
}

func (l *Linker) logEnd(peer string, err error) {
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrTooLarge) {
		l.logger.Debug("link refused", zap.String("peer", peer), zap.String("error", err.Error()))
	}
}

// monitor sends on idle links and closes silent ones.
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
		late := max(now.Sub(last)-checkInterval, 0)
		last = now
		l.checkLinks(now, late)
	}
}

// checkLinks counts as silence only time in which this process ran: late is how long its last
// check was overdue, when bytes of the peers may have waited unread.
func (l *Linker) checkLinks(now time.Time, late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, k := range l.links {
		k.conn.lastRead.Add(int64(late))
		if now.UnixNano()-k.conn.lastRead.Load() > int64(l.silence) {
			l.silenced.Add(1)
			l.logger.Info("peer silent", zap.String("host_id", id))
			l.forget(k)
			k.close()
			continue
		}
		if now.UnixNano()-k.conn.lastWrite.Load() >= int64(keepaliveAfter) {
			l.keepalive(k)
		}
	}
}

// keepalive queues an empty frame, which a receiver reads and ignores.
func (l *Linker) keepalive(k *link) {
	empty, err := encode(&wire.Frame{})
	if err != nil {
		return
	}
	empty.soft = true
	if _, err := k.outbox.put(empty); err != nil {
		l.dropped.Add(1)
	}
}
