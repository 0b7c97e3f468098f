package relayer

import (
	"context"
	"encoding/json"
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
	// relaysPerRegion is the number of hosts of each region that watch the index.
	relaysPerRegion = 2
	// relayKey is the key by which the hosts of a region are ranked to select its relays.
	relayKey = "config/relay"
	// checkInterval is the time between two checks whether this host is behind its peers.
	checkInterval = 100 * time.Millisecond
)

// Store watches objects in the platform's store.
type Store interface {
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (object.Object, error)
}

// Assembler assembles the whole configuration from an index.
type Assembler interface {
	Assemble(ctx context.Context, x index.Index) (snapshot.Snapshot, error)
	Applied(revision int64)
}

// Links sends frames to other entry hosts.
type Links interface {
	Send(hostID string, frame *wire.Frame) error
}

// Members provides the live entry hosts and the revision that each of them runs.
type Members interface {
	Self() member.Member
	Live(now time.Time) []member.Member
	Candidates(now time.Time) []member.Member
	IsFresh(now time.Time) bool
	SetRevision(revision int64)
}

// Relayer updates this host's configuration to the highest revision that the store or a peer has.
type Relayer struct {
	store     Store
	assembler Assembler
	links     Links
	members   Members
	listeners []func(snapshot.Snapshot)
	clock     func() time.Time
	logger    *zap.Logger
	count     func(name string)
	watchWait time.Duration
	adopter   *adopter.Adopter

	// applyMu is held while a configuration is adopted, so that listeners are called in ascending order of revisions.
	applyMu sync.Mutex
	// currentJSON is the current configuration as it was received, so that fields which this release does not know
	// are passed on to other hosts.
	currentJSON []byte

	// behindSince is when a peer was first seen to run a higher revision than this host, in Unix nanoseconds; it is
	// zero while none does.
	behindSince atomic.Int64
	// requestedAt and requestCount are used only by the goroutine that requests configurations from peers.
	requestedAt  time.Time
	requestCount int
}

// New returns a Relayer that has no configuration yet.
func New(store Store, assembler Assembler, links Links, members Members, options ...Option) *Relayer {
	r := &Relayer{
		store:     store,
		assembler: assembler,
		links:     links,
		members:   members,
		clock:     time.Now,
		logger:    zap.NewNop(),
		count:     func(string) {},
		watchWait: defaultWait,
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
	running.Go(func() { r.followIndex(ctx) })
	running.Go(func() { r.catchUpWithPeers(ctx) })
	go func() {
		defer close(done)
		running.Wait()
		done <- nil
	}()
	return done
}

// Current returns the current configuration, and false while there is none and the host is therefore not ready.
func (r *Relayer) Current() (snapshot.Snapshot, bool) {
	return r.adopter.Current()
}

// IsRelay reports whether this host is one of the hosts that watch the index for its region.
func (r *Relayer) IsRelay(now time.Time) bool {
	self := r.members.Self()
	return isAmong(self.ID, selectRelays(self.Region, r.members.Candidates(now)))
}

// Offer adopts a configuration that was accepted through this host, if it is newer, and propagates it, even if the
// store has become unavailable since. It reports whether the configuration was adopted.
func (r *Relayer) Offer(s snapshot.Snapshot) (bool, error) {
	encoded, err := json.Marshal(s)
	if err != nil {
		return false, errors.Wrapf(err, "encode revision %d", s.Revision)
	}
	now := r.clock()
	if !r.adoptSnapshot(now, s, encoded) {
		return false, nil
	}
	r.propagate(now, s.Revision)
	return true, nil
}

// Handle processes a configuration, or a request for one, from a peer; it ignores other frames.
func (r *Relayer) Handle(from string, frame *wire.Frame) {
	switch body := frame.GetBody().(type) {
	case *wire.Frame_SnapshotRequest:
		r.answerRequest(from, body.SnapshotRequest.GetAfterRevision())
	case *wire.Frame_SnapshotReply:
		r.receiveSnapshot(from, body.SnapshotReply)
	}
}

// answerRequest sends the current configuration to the peer if the configuration's revision is higher than after, the
// revision that the peer gave in its request.
func (r *Relayer) answerRequest(to string, after int64) {
	revision, encoded := r.currentEncoded()
	if revision > after {
		r.sendSnapshot(to, revision, encoded)
	}
}

// receiveSnapshot adopts a peer's configuration if its revision is higher; a relay then propagates it.
func (r *Relayer) receiveSnapshot(from string, reply *wire.SnapshotReply) {
	if reply.GetRevision() <= r.adopter.Revision() {
		return
	}
	s, err := parseReply(reply)
	if err != nil {
		r.count("snapshot_refused")
		r.logger.Warn("configuration from a peer is invalid", zap.String("host_id", from), zap.String("error", err.Error()))
		return
	}
	now := r.clock()
	if r.adoptSnapshot(now, s, reply.GetSnapshotJson()) && r.IsRelay(now) {
		r.propagate(now, s.Revision)
	}
}

// parseReply returns the configuration in a peer's reply, which must have the revision that the reply states.
func parseReply(reply *wire.SnapshotReply) (snapshot.Snapshot, error) {
	var s snapshot.Snapshot
	if err := json.Unmarshal(reply.GetSnapshotJson(), &s); err != nil {
		return s, errors.Wrap(err, "decode configuration")
	}
	if s.Revision != reply.GetRevision() {
		return s, errors.Errorf("configuration has revision %d, the reply states %d", s.Revision, reply.GetRevision())
	}
	return s, nil
}

// adoptSnapshot adopts the configuration if it is newer, and calls the listeners. A host without a configuration does
// not adopt one whose revision is lower than the highest that it knows of, regardless of who sent it. After its first
// configuration a host may also go through intermediate revisions.
func (r *Relayer) adoptSnapshot(now time.Time, s snapshot.Snapshot, encoded []byte) bool {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if r.adopter.Revision() == 0 && s.Revision < r.highestKnownRevision() {
		r.count("snapshot_behind")
		return false
	}
	if !r.adopter.Offer(now, s) {
		return false
	}
	r.currentJSON = encoded
	r.assembler.Applied(s.Revision)
	for _, listener := range r.listeners {
		listener(s)
	}
	r.members.SetRevision(s.Revision)
	r.count("snapshot_adopted")
	return true
}

// currentEncoded returns the revision and the encoded form of the current configuration.
func (r *Relayer) currentEncoded() (int64, []byte) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	return r.adopter.Revision(), r.currentJSON
}

// selectRelays returns the ids of the relays of the region.
func selectRelays(region string, candidates []member.Member) []string {
	var ids []string
	for _, m := range candidates {
		if m.Region == region {
			ids = append(ids, m.ID)
		}
	}
	return ranker.New(ids...).Best(relayKey, relaysPerRegion)
}
