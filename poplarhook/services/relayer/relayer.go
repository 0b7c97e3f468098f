package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/ranker"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/adopter"
	"poplarhook.example/poplarhook/models/member"
)

const (
	defaultWait = 2 * time.Second
	// relaysPerRegion is how many hosts of each region watch the index.
	relaysPerRegion = 2
	// relayKey is the key by which the hosts of a region are ranked as relays.
	relayKey = "config/relay"
	// stepInterval is how often a host looks whether it is behind its peers.
	stepInterval = 100 * time.Millisecond
)

// Store watches objects of the platform's store.
type Store interface {
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (object.Object, error)
}

// Assembler turns an index into the whole configuration.
type Assembler interface {
	Assemble(ctx context.Context, x index.Index) (snapshot.Snapshot, error)
	Applied(revision int64)
}

// Links moves frames to other entry hosts.
type Links interface {
	Send(hostID string, frame *wire.Frame) error
}

// Members knows the live entry hosts and what each runs.
type Members interface {
	Self() member.Member
	Live(now time.Time) []member.Member
	Candidates(now time.Time) []member.Member
	Fresh(now time.Time) bool
	SetRevision(revision int64)
}

// Relayer keeps this host's configuration at the highest revision that it can learn of.
type Relayer struct {
	store     Store
	assembler Assembler
	links     Links
	members   Members
	listeners []func(snapshot.Snapshot)
	clock     func() time.Time
	logger    *zap.Logger
	count     func(name string)
	wait      time.Duration
	adopter   *adopter.Adopter

	// applying keeps the listeners in the order of the revisions.
	applying sync.Mutex
	// encoded is the configuration in force as it came, so that a field which this release does
	// not know reaches the next host all the same.
	encoded []byte

	// behindSince is when peers were first seen to run more than this host, in Unix nanoseconds,
	// zero while none is.
	behindSince atomic.Int64
	// The loop that asks peers alone uses these.
	askedAt time.Time
	asked   int
}

// New returns a Relayer without a configuration.
func New(store Store, assembler Assembler, links Links, members Members, options ...Option) *Relayer {
	r := &Relayer{
		store:     store,
		assembler: assembler,
		links:     links,
		members:   members,
		clock:     time.Now,
		logger:    zap.NewNop(),
		count:     func(string) {},
		wait:      defaultWait,
		adopter:   adopter.New(),
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Run follows the store and the peers until the context ends; the channel then carries nil and closes.
func (r *Relayer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var running sync.WaitGroup
	running.Go(func() { r.follow(ctx) })
	running.Go(func() { r.catchUp(ctx) })
	go func() {
		defer close(done)
		running.Wait()
		done <- nil
	}()
	return done
}

// Current returns the configuration in force, and false while there is none and the host is not ready.
func (r *Relayer) Current() (snapshot.Snapshot, bool) {
	return r.adopter.Current()
}

// IsRelay reports whether this host watches the index for its region.
func (r *Relayer) IsRelay(now time.Time) bool {
	self := r.members.Self()
	return isAmong(self.ID, relaysOf(self.Region, r.members.Candidates(now)))
}

// Offer adopts a configuration that was accepted through this host, if it is newer, and spreads
// it even when the store is out since; it reports whether it was adopted.
func (r *Relayer) Offer(s snapshot.Snapshot) (bool, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return false, errors.Wrapf(err, "encode revision %d", s.Revision)
	}
	now := r.clock()
	if !r.apply(now, s, encoded) {
		return false, nil
	}
	r.spread(now, s.Revision)
	return true, nil
}

// Handle takes a configuration or a request for one from a peer; it ignores other frames.
func (r *Relayer) Handle(from string, frame *wire.Frame) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_SnapshotRequest:
		r.answer(from, body.SnapshotRequest.GetAfterRevision())
	case *wire.Frame_SnapshotReply:
		r.receive(from, body.SnapshotReply)
	}
}

func (r *Relayer) answer(to string, after int64) {
	revision, encoded := r.inForce()
	if revision > after {
		r.sendSnapshot(to, revision, encoded)
	}
}

func (r *Relayer) receive(from string, reply *wire.SnapshotReply) {
	if reply.GetRevision() <= r.adopter.Revision() {
		return
	}
	var s snapshot.Snapshot
	if err := json.Unmarshal(reply.GetSnapshotJson(), &s); err != nil || s.Revision != reply.GetRevision() {
		r.count("snapshot_refused")
		r.logger.Warn("configuration of a peer refused", zap.String("host_id", from), zap.String("error", fmt.Sprint(err)))
		return
	}
	now := r.clock()
	if r.apply(now, s, reply.GetSnapshotJson()) && r.IsRelay(now) {
		r.spread(now, s.Revision)
	}
}

// apply adopts the configuration if it is newer and tells the listeners. A host that starts takes
// none that is older than what it has heard, whoever sends it; later ones may rise step by step.
func (r *Relayer) apply(now time.Time, s snapshot.Snapshot, encoded []byte) bool {
	r.applying.Lock()
	defer r.applying.Unlock()
	if r.adopter.Revision() == 0 && s.Revision < r.highestHeard() {
		r.count("snapshot_behind")
		return false
	}
	if !r.adopter.Offer(now, s) {
		return false
	}
	r.encoded = encoded
	r.assembler.Applied(s.Revision)
	for _, listener := range r.listeners {
		listener(s)
	}
	r.members.SetRevision(s.Revision)
	r.count("snapshot_adopted")
	return true
}

func (r *Relayer) inForce() (int64, []byte) {
	r.applying.Lock()
	defer r.applying.Unlock()
	return r.adopter.Revision(), r.encoded
}

// relaysOf returns the ids of the hosts that watch the index for the region.
func relaysOf(region string, candidates []member.Member) []string {
	var ids []string
	for _, m := range candidates {
		if m.Region == region {
			ids = append(ids, m.ID)
		}
	}
	return ranker.New(ids...).Best(relayKey, relaysPerRegion)
}
