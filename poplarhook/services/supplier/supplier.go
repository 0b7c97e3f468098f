package supplier

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/change"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/rollout"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/broadcaster"
	"poplarhook.example/poplarhook/services/replica"
	"poplarhook.example/poplarhook/services/subscriber"
)

// Feed lists and watches the items of one kind in the store.
type Feed[T any] interface {
	List(ctx context.Context) (map[string]T, int64, error)
	Watch(ctx context.Context, revision int64, wait time.Duration) ([]change.Change[T], int64, error)
}

// Store gives an entry host access to the data of the store.
type Store struct {
	Configurations Feed[snapshot.Snapshot]
	Endpoints      Feed[host.Host]
	ZonesOut       Feed[json.RawMessage]
	Members        Feed[host.Host]
	// Register writes this host's own entry, through which other hosts find it.
	Register func(ctx context.Context, self host.Host) error
	// Orders and RolloutStates are the orders to move services to other versions and their states. Both are nil where
	// such orders are not carried out.
	Orders        Feed[rollout.Order]
	RolloutStates Feed[rollout.State]
	// HistoryGone is the error of a watch whose history the store no longer has, so that the items must be listed again.
	HistoryGone error
	// IsRestored reports whether the store was restored from an older copy between two revisions; nil if it never is.
	IsRestored func(before, after int64) bool
}

// Names of the feeds in frames.
const (
	feedConfiguration = "configuration"
	feedEndpoints     = "endpoints"
	feedZonesOut      = "zones_out"
	feedMembers       = "members"
	feedOrders        = "rollouts"
	feedRolloutStates = "rollout_states"
)

// Hooks are called with each newer view and with changes of the state; they must not block.
type Hooks struct {
	Configuration func(v view.View[snapshot.Snapshot])
	Endpoints     func(v view.View[host.Host])
	ZonesOut      func(v view.View[json.RawMessage])
	Members       func(v view.View[host.Host])
	// Orders and RolloutStates are called only if the store has these feeds.
	Orders        func(v view.View[rollout.Order])
	RolloutStates func(v view.View[rollout.State])
	// UpToDate is called with whether this host's views are kept up to date.
	UpToDate func(upToDate bool)
	// GracePeriod is called with the remaining time in which entries that expired during an outage of the store may come
	// back.
	GracePeriod func(left time.Duration)
	// Restored is called before the first view of a store that was restored from an older copy, with the time in which
	// what was lost may be written again. It may be nil.
	Restored func(left time.Duration)
}

// Supplier keeps the views of one host up to date.
type Supplier struct {
	self          host.Host
	store         Store
	clock         func() time.Time
	logger        *zap.Logger
	counter       func(event string)
	broadcaster   *broadcaster.Broadcaster
	subscriber    *subscriber.Subscriber
	onUpToDate    func(upToDate bool)
	onGracePeriod func(left time.Duration)
	onRestored    func(left time.Duration)
	watchWait     time.Duration
	seeds         []string
	times         times
	gracePeriod   time.Duration
	fanout        int
	// revocation is nil unless revocation is strict.
	revocation *strictRevocation
	// urgent is closed by setUrgent once this host needs its views urgently.
	urgent    chan struct{}
	setUrgent func()

	configuration *replica.Replica[snapshot.Snapshot]
	endpoints     *replica.Replica[host.Host]
	zonesOut      *replica.Replica[json.RawMessage]
	members       *replica.Replica[host.Host]
	// orders and rolloutStates are nil where the store has no such feeds.
	orders        *replica.Replica[rollout.Order]
	rolloutStates *replica.Replica[rollout.State]
	// ordersChanged receives a value after the orders have changed.
	ordersChanged chan struct{}

	// storeReachable is true while this host follows the store and the store has answered its last poll.
	storeReachable atomic.Bool
	// storeLost signals that the store no longer answers this host.
	storeLost chan struct{}

	mu        sync.Mutex
	penalties map[string]penalty
	// failedSources is the number of consecutive sources that failed.
	failedSources int
	// disconnectedSince is the time since which this host has received no updates from any source, zero while it
	// receives them; storeUnanswered is true if the store has failed to answer a poll of this host since then.
	disconnectedSince time.Time
	storeUnanswered   bool
	restoration       restoration
	// receivesUpdates is true while this host receives the store's updates, itself or through another host.
	receivesUpdates bool
}

// Option changes how a Supplier is built.
type Option func(*Supplier)

// WithClock sets the clock.
func WithClock(clock func() time.Time) Option {
	return func(s *Supplier) { s.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return func(s *Supplier) { s.logger = logger }
}

// WithCounter sets the function that counts events.
func WithCounter(count func(event string)) Option {
	return func(s *Supplier) { s.counter = count }
}

// WithHistory sets for how long the store keeps changes; a watch waits for at most half of that time.
func WithHistory(history time.Duration) Option {
	return func(s *Supplier) { s.watchWait = min(history/2, maxWatchWait) }
}

// WithBound sets the time within which this host must learn of a change.
func WithBound(bound time.Duration) Option {
	return func(s *Supplier) { s.times = newTimes(bound) }
}

// WithGracePeriod sets how long expired entries may come back after an outage of the store.
func WithGracePeriod(period time.Duration) Option {
	return func(s *Supplier) { s.gracePeriod = period }
}

// WithFanout sets how many hosts read from one host.
func WithFanout(readers int) Option {
	return func(s *Supplier) { s.fanout = readers }
}

// WithSeeds sets the peer addresses of hosts whose views are read while the store does not answer and this host has no
// configuration.
func WithSeeds(addresses ...string) Option {
	return func(s *Supplier) { s.seeds = addresses }
}

// New returns a Supplier for the host that passes each newer view to the hooks.
func New(self host.Host, store Store, hooks Hooks, options ...Option) *Supplier {
	s := &Supplier{
		self:          self,
		store:         store,
		clock:         time.Now,
		logger:        zap.NewNop(),
		counter:       func(string) {},
		onUpToDate:    hooks.UpToDate,
		onGracePeriod: hooks.GracePeriod,
		onRestored:    hooks.Restored,
		times:         newTimes(referenceBound),
		watchWait:     maxWatchWait,
		fanout:        fanout,
		penalties:     make(map[string]penalty),
		urgent:        make(chan struct{}),
		storeLost:     make(chan struct{}, 1),
	}
	if s.onRestored == nil {
		s.onRestored = func(time.Duration) {}
	}
	if s.store.IsRestored == nil {
		s.store.IsRestored = func(_, _ int64) bool { return false }
	}
	s.restoration.isEntryChecked, s.restoration.entryLost = true, make(chan struct{}, 1)
	s.setUrgent = sync.OnceFunc(func() { close(s.urgent) })
	for _, option := range options {
		option(s)
	}
	s.subscriber = subscriber.New(s.times.silenceTimeout)
	var broadcasterOptions []broadcaster.Option
	if s.revocation != nil {
		broadcasterOptions = append(broadcasterOptions, broadcaster.WithConfirmations(s.revocation.read))
	}
	s.broadcaster = broadcaster.New(s.allFrames, s.clock, broadcasterOptions...)
	s.configuration = replica.New(nil, hooks.Configuration, configurationHook(s))
	s.endpoints = replica.New(isSameHost, hooks.Endpoints, broadcastHook[host.Host](s, feedEndpoints))
	s.zonesOut = replica.New(nil, hooks.ZonesOut, broadcastHook[json.RawMessage](s, feedZonesOut))
	s.members = replica.New(isSameHost, hooks.Members, broadcastHook[host.Host](s, feedMembers), s.checkOwnEntry)
	if s.hasRollouts() {
		s.ordersChanged = make(chan struct{}, 1)
		s.orders = replica.New(nil, hooks.Orders, broadcastHook[rollout.Order](s, feedOrders), func(view.View[rollout.Order]) { s.notifyOrders() })
		s.rolloutStates = replica.New(nil, hooks.RolloutStates, broadcastHook[rollout.State](s, feedRolloutStates))
	}
	return s
}

func isSameHost(now time.Time, before, after host.Host) bool {
	return before.IsSame(now, after)
}

// Broadcaster returns the broadcaster that serves the views of this host to others.
func (s *Supplier) Broadcaster() *broadcaster.Broadcaster {
	return s.broadcaster
}

// broadcastHook returns a hook that sends each newer view to the readers.
func broadcastHook[T any](s *Supplier, feed string) func(v view.View[T]) {
	return func(v view.View[T]) {
		s.broadcaster.Send(func(understandsDifferences bool) (frame.Frame, bool) {
			return newFrameFor(s, understandsDifferences, feed, v)
		})
	}
}

// allFrames returns the complete views of this host as frames.
func (s *Supplier) allFrames() []frame.Frame {
	var frames []frame.Frame
	frames = appendComplete(s, frames, feedMembers, s.members.Get())
	frames = appendComplete(s, frames, feedZonesOut, s.zonesOut.Get())
	frames = s.appendRollouts(frames)
	frames = appendComplete(s, frames, feedEndpoints, s.endpoints.Get())
	return appendComplete(s, frames, feedConfiguration, s.configuration.Get())
}

func appendComplete[T any](s *Supplier, frames []frame.Frame, feed string, v view.View[T]) []frame.Frame {
	if v.Revision == 0 {
		return frames
	}
	v.Changed, v.Since = nil, 0
	if f, encoded := newFrame(s, feed, v); encoded {
		frames = append(frames, f)
	}
	return frames
}

// newFrame returns the frame of a view, and whether the view could be encoded.
func newFrame[T any](s *Supplier, feed string, v view.View[T]) (frame.Frame, bool) {
	f, err := frame.New(feed, v)
	if err != nil {
		s.logger.Error("encoding a view for other hosts failed", zap.String("feed", feed), zap.String("error", err.Error()))
		return frame.Frame{}, false
	}
	return f, true
}

// newFrameFor returns the frame of a view, and whether the view could be encoded. Long changes are compressed for readers
// that understand differences; those of older releases take compressed changes for a list of items.
func newFrameFor[T any](s *Supplier, understandsDifferences bool, feed string, v view.View[T]) (frame.Frame, bool) {
	f, encoded := newFrame(s, feed, v)
	if !encoded || !understandsDifferences {
		return f, encoded
	}
	f, err := f.WithPackedChanges()
	if err != nil {
		s.logger.Error("compressing changes for other hosts failed", zap.String("feed", feed), zap.String("error", err.Error()))
	}
	return f, err == nil
}

// Run keeps the views up to date until the context ends; the channel receives the result at the end.
func (s *Supplier) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	registered := s.register(ctx)
	go func() {
		s.runSessions(ctx)
		done <- <-registered
	}()
	return done
}

// findMembers lists the entry hosts unless other hosts are known already.
func (s *Supplier) findMembers(ctx context.Context) {
	if len(s.members.Get().Items) > 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.times.pollTimeout)
	defer cancel()
	items, revision, err := s.store.Members.List(ctx)
	if err != nil {
		s.logger.Warn("listing the entry hosts failed", zap.String("error", err.Error()))
		return
	}
	s.recordRevision(revision)
	s.members.PutList(view.View[host.Host]{Items: items, Revision: revision, ConfirmedAt: s.clock()})
}

// readSeeds reads the views of other hosts, for a host that starts while the store does not answer.
//
// Those views may be old, but no older than the ones that the other hosts work with.
func (s *Supplier) readSeeds(ctx context.Context) {
	for _, address := range s.seeds {
		// The configuration alone may have been read before.
		if s.configuration.Get().Revision > 0 && s.endpoints.Get().Revision > 0 || ctx.Err() != nil {
			return
		}
		if address == s.self.PeerAddress {
			continue
		}
		if err := s.subscriber.ReadFullView(ctx, address, s.confirming(s.frameApplier())); err != nil {
			s.logger.Warn("reading the views of a seed host failed", zap.String("address", address), zap.String("error", err.Error()))
			continue
		}
		s.logger.Info("read the views of a seed host", zap.String("address", address), zap.Int64("revision", s.configuration.Get().Revision))
	}
}

// minExpiryOutage is the shortest outage of the store in which entries may expire: endpoints renew their entries less
// often than that.
const minExpiryOutage = 500 * time.Millisecond

// setUpToDate records whether this host's views are kept up to date, and calls the hook.
func (s *Supplier) setUpToDate(upToDate bool) {
	s.mu.Lock()
	s.receivesUpdates = upToDate
	switch {
	case upToDate:
		s.disconnectedSince, s.storeUnanswered = time.Time{}, false
	case s.disconnectedSince.IsZero():
		s.disconnectedSince = s.clock()
	}
	s.mu.Unlock()
	s.onUpToDate(upToDate)
}

// recordUnanswered records that the store did not answer this host. It ignores that while this host receives updates,
// as the store then answers other hosts.
func (s *Supplier) recordUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.receivesUpdates {
		return
	}
	s.storeUnanswered = true
	if s.disconnectedSince.IsZero() {
		s.disconnectedSince = s.clock()
	}
}

// wasStoreDown reports whether, as far as this host knows, the store was down for so long that entries may have
// expired.
func (s *Supplier) wasStoreDown(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUnanswered && now.Sub(s.disconnectedSince) >= minExpiryOutage
}

// startGracePeriod starts a grace period for expired entries if the store answers after an outage.
//
// The host that follows the store announces the grace period to its readers,
// since a host that lost only its source cannot know whether the store was
// down too.
func (s *Supplier) startGracePeriod() {
	now := s.clock()
	if s.gracePeriod <= 0 || !s.wasStoreDown(now) {
		return
	}
	s.broadcaster.SetGraceEnd(now.Add(s.gracePeriod))
	s.onGracePeriod(s.gracePeriod)
}

// frameApplier returns a function that applies the frames of another host to the local views.
func (s *Supplier) frameApplier() func(f frame.Frame) error {
	// ahead is how far this host's clock is ahead of the other host's clock.
	var ahead time.Duration
	return func(f frame.Frame) error {
		if f.IsHeartbeat() {
			ahead = s.clock().Sub(time.UnixMilli(f.AtMS))
			return nil
		}
		return s.applyFrame(f, ahead)
	}
}

// applyFrame applies the view of a frame to its replica. A grace period starts before the view is applied, so that it
// covers entries that the view no longer contains.
func (s *Supplier) applyFrame(f frame.Frame, ahead time.Duration) error {
	now := s.clock()
	if left := time.Duration(f.GraceMS) * time.Millisecond; left > 0 {
		s.broadcaster.SetGraceEnd(now.Add(left))
		s.onGracePeriod(left)
	}
	s.recordRevision(f.Revision)
	switch f.Feed {
	case feedConfiguration:
		if f.HasDifference() {
			return s.putDifference(f, now)
		}
		return putView(s.configuration, f, now)
	case feedEndpoints:
		v, err := frame.View[host.Host](f, now)
		if err != nil {
			return err
		}
		return s.endpoints.PutReceived(toLocalClock(v, ahead))
	case feedZonesOut:
		return putView(s.zonesOut, f, now)
	case feedMembers:
		return putView(s.members, f, now)
	default:
		return s.applyRolloutFrame(f, now)
	}
}

// clockTolerance is the difference of two hosts' clocks that is ignored. It is below the interval of the heartbeats in
// which endpoints report their times.
const clockTolerance = 100 * time.Millisecond

// toLocalClock converts the times of a view to this host's clock, which is ahead of the sender's clock by the given
// time.
func toLocalClock(v view.View[host.Host], ahead time.Duration) view.View[host.Host] {
	if ahead.Abs() < clockTolerance {
		return v
	}
	for id, h := range v.Items {
		v.Items[id] = h.WithClockOffset(ahead)
	}
	for i, c := range v.Changed {
		v.Changed[i].Value = c.Value.WithClockOffset(ahead)
	}
	return v
}

func putView[T any](target *replica.Replica[T], f frame.Frame, now time.Time) error {
	v, err := frame.View[T](f, now)
	if err != nil {
		return err
	}
	return target.PutReceived(v)
}
