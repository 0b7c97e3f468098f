package relayer

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/member"
)

const (
	// requestTimeout is how long a peer may take to respond before the request is sent to another one.
	requestTimeout = 500 * time.Millisecond
	// sameRegionDelay is how long this host waits for a newer configuration to arrive unsolicited before requesting
	// that configuration from a host of the own region that already runs it.
	sameRegionDelay = 100 * time.Millisecond
	// relayDelay and nonRelayDelay are how long a host waits before it requests a configuration from another region.
	// Bytes between regions are billed, so a relay first waits for its own watch, and another host for the relays of
	// its region.
	relayDelay    = 300 * time.Millisecond
	nonRelayDelay = 600 * time.Millisecond
	// storeFallbackDelay is how long a host that is no relay requests a configuration from its peers before it reads
	// the store itself.
	storeFallbackDelay = 2 * time.Second
)

// propagate sends the current configuration to the hosts of the own region that run a lower revision. To the relays
// of other regions it announces only the revision; they request the configuration if they do not get it from the
// store.
func (r *Relayer) propagate(now time.Time, revision int64) {
	current, encoded := r.currentEncoded()
	if current != revision {
		return
	}
	self, candidates := r.members.Self(), r.members.Candidates(now)
	for _, m := range r.members.Live(now) {
		switch {
		case m.ID == self.ID || m.Revision >= revision:
		case m.Region == self.Region:
			r.sendSnapshot(m.ID, revision, encoded)
		case isAmong(m.ID, selectRelays(m.Region, candidates)):
			r.announceRevision(m.ID, self)
		}
	}
}

func (r *Relayer) sendSnapshot(to string, revision int64, encoded []byte) {
	reply := &wire.SnapshotReply{Revision: revision, SnapshotJson: encoded}
	err := r.links.Send(to, &wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: reply}})
	if err != nil {
		// The peer learns the revision from heartbeats and requests the configuration.
		r.count("snapshot_unsent")
		r.logger.Debug("could not send the configuration to a peer", zap.String("host_id", to), zap.String("error", err.Error()))
	}
}

// announceRevision sends a heartbeat, which contains the revision that this host runs.
func (r *Relayer) announceRevision(to string, self member.Member) {
	heartbeat := &wire.Heartbeat{Revision: self.Revision, Leaving: self.Leaving}
	if r.links.Send(to, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: heartbeat}}) != nil {
		r.count("announcement_unsent")
	}
}

// catchUpWithPeers requests the configuration from peers that run a higher revision, until the context ends.
func (r *Relayer) catchUpWithPeers(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		r.checkPeers(r.clock())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkPeers requests the configuration from a peer if peers have run a higher revision than this host for at least
// requestDelay. It also records since when they have.
func (r *Relayer) checkPeers(now time.Time) {
	if r.adopter.Revision() == 0 {
		if !r.members.IsFresh(now) {
			return
		}
		r.adopter.Enable()
	}
	ahead := r.peersAhead(now)
	if len(ahead) == 0 {
		r.behindSince.Store(0)
		return
	}
	r.behindSince.CompareAndSwap(0, now.UnixNano())
	if now.Sub(r.requestedAt) < requestTimeout || r.timeBehindPeers(now) < r.requestDelay(now, ahead) {
		return
	}
	r.requestedAt = now
	r.requestSnapshot(ahead)
}

// timeBehindPeers returns for how long peers have run a higher revision than this host.
func (r *Relayer) timeBehindPeers(now time.Time) time.Duration {
	since := r.behindSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// peersAhead returns the live peers that run the highest revision, if this host runs a lower one; only those of the
// own region if there are any.
func (r *Relayer) peersAhead(now time.Time) []member.Member {
	self, highest := r.members.Self(), r.highestKnownRevision()
	ahead := slices.DeleteFunc(r.members.Live(now), func(m member.Member) bool {
		return m.ID == self.ID || m.Revision < highest || m.Revision <= r.adopter.Revision()
	})
	isSameRegion := func(m member.Member) bool { return m.Region == self.Region }
	if slices.ContainsFunc(ahead, isSameRegion) {
		ahead = slices.DeleteFunc(ahead, func(m member.Member) bool { return !isSameRegion(m) })
	}
	return ahead
}

// requestDelay returns how long to wait for a configuration to arrive unsolicited before it is requested from the
// given peers.
func (r *Relayer) requestDelay(now time.Time, ahead []member.Member) time.Duration {
	switch {
	case r.adopter.Revision() == 0:
		return 0
	case ahead[0].Region == r.members.Self().Region:
		return sameRegionDelay
	case r.IsRelay(now):
		return relayDelay
	default:
		return nonRelayDelay
	}
}

// requestSnapshot requests the configuration from one of the given peers, a different one each time.
func (r *Relayer) requestSnapshot(ahead []member.Member) {
	to := ahead[r.requestCount%len(ahead)]
	r.requestCount++
	request := &wire.SnapshotRequest{AfterRevision: r.adopter.Revision()}
	if r.links.Send(to.ID, &wire.Frame{Body: &wire.Frame_SnapshotRequest{SnapshotRequest: request}}) != nil {
		r.count("snapshot_request_unsent")
	}
}

func isAmong(id string, ids []string) bool {
	return slices.Contains(ids, id)
}
