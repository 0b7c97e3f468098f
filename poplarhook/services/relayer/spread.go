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
	// askAgainAfter is how long a peer may take to answer before another is asked.
	askAgainAfter = 500 * time.Millisecond
	// nearPatience is how long a configuration that a host of the own region runs may be on its way.
	nearPatience = 100 * time.Millisecond
	// Before a host asks another region, its own watch or the relays of its region get this long,
	// as bytes between regions are billed.
	relayPatience = 300 * time.Millisecond
	hostPatience  = 600 * time.Millisecond
	// storePatience is how long a host asks its peers before it reads the store itself.
	storePatience = 2 * time.Second
)

// spread sends the configuration in force to the hosts of the own region that lack it and
// announces it to the relays of the others, which ask for it when they don't get it from the store.
func (r *Relayer) spread(now time.Time, revision int64) {
	inForce, encoded := r.inForce()
	if inForce != revision {
		return
	}
	self, candidates := r.members.Self(), r.members.Candidates(now)
	for _, m := range r.members.Live(now) {
		switch {
		case m.ID == self.ID || m.Revision >= revision:
		case m.Region == self.Region:
			r.sendSnapshot(m.ID, revision, encoded)
		case isAmong(m.ID, relaysOf(m.Region, candidates)):
			r.announce(m.ID, self)
		}
	}
}

func (r *Relayer) sendSnapshot(to string, revision int64, encoded []byte) {
	reply := &wire.SnapshotReply{Revision: revision, SnapshotJson: encoded}
	err := r.links.Send(to, &wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: reply}})
	if err != nil {
		// The peer sees the revision in heartbeats and asks.
		r.count("snapshot_unsent")
		r.logger.Debug("configuration not sent", zap.String("host_id", to), zap.String("error", err.Error()))
	}
}

func (r *Relayer) announce(to string, self member.Member) {
	beat := &wire.Heartbeat{Revision: self.Revision, Leaving: self.Leaving}
	if r.links.Send(to, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: beat}}) != nil {
		r.count("announcement_unsent")
	}
}

// catchUp asks peers that run a higher revision for it.
func (r *Relayer) catchUp(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		r.step(r.clock())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Relayer) step(now time.Time) {
	if r.adopter.Revision() == 0 {
		if !r.members.Fresh(now) {
			return
		}
		r.adopter.Open()
	}
	ahead := r.ahead(now)
	if len(ahead) == 0 {
		r.behindSince.Store(0)
		return
	}
	r.behindSince.CompareAndSwap(0, now.UnixNano())
	if now.Sub(r.askedAt) < askAgainAfter || r.behindFor(now) < r.patience(now, ahead) {
		return
	}
	r.askedAt = now
	r.ask(ahead)
}

// behindFor returns for how long peers have run more than this host.
func (r *Relayer) behindFor(now time.Time) time.Duration {
	since := r.behindSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, since))
}

// ahead returns the live peers with the highest revision, those of the own region if there are any.
func (r *Relayer) ahead(now time.Time) []member.Member {
	self, highest := r.members.Self(), r.highestHeard()
	ahead := slices.DeleteFunc(r.members.Live(now), func(m member.Member) bool {
		return m.ID == self.ID || m.Revision < highest || m.Revision <= r.adopter.Revision()
	})
	isNear := func(m member.Member) bool { return m.Region == self.Region }
	if slices.ContainsFunc(ahead, isNear) {
		ahead = slices.DeleteFunc(ahead, func(m member.Member) bool { return !isNear(m) })
	}
	return ahead
}

// patience returns how long to wait for a configuration to come by itself.
func (r *Relayer) patience(now time.Time, ahead []member.Member) time.Duration {
	switch {
	case r.adopter.Revision() == 0:
		return 0
	case ahead[0].Region == r.members.Self().Region:
		return nearPatience
	case r.IsRelay(now):
		return relayPatience
	default:
		return hostPatience
	}
}

// ask requests the configuration from one of the peers, each time from the next.
func (r *Relayer) ask(ahead []member.Member) {
	to := ahead[r.asked%len(ahead)]
	r.asked++
	request := &wire.SnapshotRequest{AfterRevision: r.adopter.Revision()}
	if r.links.Send(to.ID, &wire.Frame{Body: &wire.Frame_SnapshotRequest{SnapshotRequest: request}}) != nil {
		r.count("snapshot_request_unsent")
	}
}

func isAmong(id string, ids []string) bool {
	return slices.Contains(ids, id)
}
