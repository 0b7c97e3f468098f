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
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/broadcaster"
	"poplarhook.example/poplarhook/services/shelf"
	"poplarhook.example/poplarhook/services/subscriber"
)

// Feed lists and watches the items of one kind in the store.
type Feed[T any] interface {
	List(ctx context.Context) (map[string]T, int64, error)
	Watch(ctx context.Context, revision int64, wait time.Duration) ([]change.Change[T], int64, error)
}

// Store is what the store holds for an entry host.
type Store struct {
	Configurations Feed[snapshot.Snapshot]
	Endpoints      Feed[host.Host]
	ZonesOut       Feed[json.RawMessage]
	Members        Feed[host.Host]
	// Register writes this host's own entry, by which others find it.
	Register func(ctx context.Context, self host.Host) error
	// Forgotten is the feeds' error after which items must be listed anew.
	Forgotten error
}

// Names of the feeds in frames.
const (
	feedConfiguration = "configuration"
	feedEndpoints     = "endpoints"
	feedZonesOut      = "zones_out"
	feedMembers       = "members"
)

// Hooks take in each newer view; they must not block.
type Hooks struct {
	Configuration func(v view.View[snapshot.Snapshot])
	Endpoints     func(v view.View[host.Host])
	ZonesOut      func(v view.View[json.RawMessage])
	Members       func(v view.View[host.Host])
	// Heard is called with whether this host's views are kept up to date.
	Heard func(heard bool)
	// Grace is called with how much longer entries that lapsed while the store was away may come back.
	Grace func(left time.Duration)
}

// Supplier keeps the views of one host.
type Supplier struct {
	self        host.Host
	store       Store
	clock       func() time.Time
	logger      *zap.Logger
	counter     func(event string)
	broadcaster *broadcaster.Broadcaster
	subscriber  *subscriber.Subscriber
	heard       func(heard bool)
	grace       func(left time.Duration)
	watchWait   time.Duration
	seeds       []string
	times       times
	lapseGrace  time.Duration
	fanout      int
	// hurried is closed once this host needs its views at once, by hurry.
	hurried chan struct{}
	hurry   func()

	configuration *shelf.Shelf[snapshot.Snapshot]
	endpoints     *shelf.Shelf[host.Host]
	zonesOut      *shelf.Shelf[json.RawMessage]
	members       *shelf.Shelf[host.Host]

	// storeHeard says that this host follows the store and that the store answered its last question.
	storeHeard atomic.Bool
	// storeLost tells that the store no longer answers this host.
	storeLost chan struct{}

	mu        sync.Mutex
	penalties map[string]penalty
	// failures counts the hosts in a row that did not serve.
	failures int
	// unheardSince is since when this host hears the store in no way, zero while it does; unanswered says that the store
	// has left a question of this host unanswered since.
	unheardSince time.Time
	unanswered   bool
	// hearing says that this host hears the store, itself or through another host.
	hearing bool
}

// Option changes how a Supplier is built.
type Option func(*Supplier)

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(s *Supplier) { s.clock = clock }
}

// WithLogger sets where changes of the source are logged.
func WithLogger(logger *zap.Logger) Option {
	return func(s *Supplier) { s.logger = logger }
}

// WithCounter sets where events are counted.
func WithCounter(count func(event string)) Option {
	return func(s *Supplier) { s.counter = count }
}

// WithHistory sets for how long the store keeps changes, of which a watch may wait a half.
func WithHistory(history time.Duration) Option {
	return func(s *Supplier) { s.watchWait = min(history/2, maxWatchWait) }
}

// WithBound sets within what time a change must be known here.
func WithBound(bound time.Duration) Option {
	return func(s *Supplier) { s.times = timesFor(bound) }
}

// WithLapseGrace sets for how long entries may come back after the store's return.
func WithLapseGrace(grace time.Duration) Option {
	return func(s *Supplier) { s.lapseGrace = grace }
}

// WithFanout sets how many hosts read from one.
func WithFanout(readers int) Option {
	return func(s *Supplier) { s.fanout = readers }
}

// WithSeeds names the peer addresses of hosts to ask while neither the store nor any other host is known.
func WithSeeds(addresses ...string) Option {
	return func(s *Supplier) { s.seeds = addresses }
}

// New returns a Supplier of the host that hands each newer view to the hooks.
func New(self host.Host, store Store, hooks Hooks, options ...Option) *Supplier {
	s := &Supplier{
		self:      self,
		store:     store,
		clock:     time.Now,
		logger:    zap.NewNop(),
		counter:   func(string) {},
		heard:     hooks.Heard,
		grace:     hooks.Grace,
		times:     timesFor(reference),
		watchWait: maxWatchWait,
		fanout:    fanout,
		penalties: make(map[string]penalty),
		hurried:   make(chan struct{}),
		storeLost: make(chan struct{}, 1),
	}
	s.hurry = sync.OnceFunc(func() { close(s.hurried) })
	for _, option := range options {
		option(s)
	}
	s.subscriber = subscriber.New(s.times.silence)
	s.broadcaster = broadcaster.New(s.whole, s.clock)
	s.configuration = shelf.New(nil, hooks.Configuration, tell[snapshot.Snapshot](s, feedConfiguration))
	s.endpoints = shelf.New(isSameHost, hooks.Endpoints, tell[host.Host](s, feedEndpoints))
	s.zonesOut = shelf.New(nil, hooks.ZonesOut, tell[json.RawMessage](s, feedZonesOut))
	s.members = shelf.New(isSameHost, hooks.Members, tell[host.Host](s, feedMembers))
	return s
}

func isSameHost(now time.Time, before, after host.Host) bool {
	return before.IsSame(now, after)
}

// Broadcaster serves the views of this host to others.
func (s *Supplier) Broadcaster() *broadcaster.Broadcaster {
	return s.broadcaster
}

// tell returns a hook that sends each newer view to the readers.
func tell[T any](s *Supplier, feed string) func(v view.View[T]) {
	return func(v view.View[T]) {
		s.broadcaster.Send(func() (frame.Frame, bool) { return newFrame(s, feed, v) })
	}
}

// whole returns everything known as frames.
func (s *Supplier) whole() []frame.Frame {
	var frames []frame.Frame
	frames = appendWhole(s, frames, feedMembers, s.members.Get())
	frames = appendWhole(s, frames, feedZonesOut, s.zonesOut.Get())
	frames = appendWhole(s, frames, feedEndpoints, s.endpoints.Get())
	return appendWhole(s, frames, feedConfiguration, s.configuration.Get())
}

func appendWhole[T any](s *Supplier, frames []frame.Frame, feed string, v view.View[T]) []frame.Frame {
	if v.Revision == 0 {
		return frames
	}
	v.Changed, v.Since = nil, 0
	if f, encoded := newFrame(s, feed, v); encoded {
		frames = append(frames, f)
	}
	return frames
}

// newFrame returns the frame of a view and whether it could be encoded.
func newFrame[T any](s *Supplier, feed string, v view.View[T]) (frame.Frame, bool) {
	f, err := frame.New(feed, v)
	if err != nil {
		s.logger.Error("view cannot be told", zap.String("feed", feed), zap.String("error", err.Error()))
		return frame.Frame{}, false
	}
	return f, true
}

// Run keeps the views up to date until the context ends; the channel gives the end.
func (s *Supplier) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	registered := s.register(ctx)
	go func() {
		s.run(ctx)
		done <- <-registered
	}()
	return done
}

// findMembers lists the entry hosts unless others are known already.
func (s *Supplier) findMembers(ctx context.Context) {
	if len(s.members.Get().Items) > 1 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.times.timeout)
	defer cancel()
	items, revision, err := s.store.Members.List(ctx)
	if err != nil {
		s.logger.Warn("entry hosts are not known yet", zap.String("error", err.Error()))
		return
	}
	s.members.PutList(view.View[host.Host]{Items: items, Revision: revision, HeardAt: s.clock()})
}

// askSeeds learns from other hosts what they know, for a host that starts while the store is away.
//
// What they tell may be old, but no older than what they run.
func (s *Supplier) askSeeds(ctx context.Context) {
	for _, address := range s.seeds {
		if s.configuration.Get().Revision > 0 || ctx.Err() != nil {
			return
		}
		if address == s.self.PeerAddress {
			continue
		}
		if err := s.subscriber.Ask(ctx, address, s.taker()); err != nil {
			s.logger.Warn("seed does not answer", zap.String("address", address), zap.String("error", err.Error()))
			continue
		}
		s.logger.Info("learned from a seed", zap.String("address", address), zap.Int64("revision", s.configuration.Get().Revision))
	}
}

// lapseAfter is how long the store must have been away for entries to lapse because of it: endpoints renew them less
// often than that.
const lapseAfter = 500 * time.Millisecond

// setHeard takes in whether this host's views are kept up to date.
func (s *Supplier) setHeard(heard bool) {
	s.mu.Lock()
	s.hearing = heard
	switch {
	case heard:
		s.unheardSince, s.unanswered = time.Time{}, false
	case s.unheardSince.IsZero():
		s.unheardSince = s.clock()
	}
	s.mu.Unlock()
	s.heard(heard)
}

// miss takes in that the store has not answered this host, which says nothing while others hear it.
func (s *Supplier) miss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hearing {
		return
	}
	s.unanswered = true
	if s.unheardSince.IsZero() {
		s.unheardSince = s.clock()
	}
}

// wasAway reports whether the store was away for so long that entries may have lapsed, as far as this host knows.
func (s *Supplier) wasAway(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unanswered && now.Sub(s.unheardSince) >= lapseAfter
}

// returned takes in that the store answers.
//
// The source of a region tells the others of a grace, since a host that lost
// only its source cannot know whether the store was away too.
func (s *Supplier) returned() {
	now := s.clock()
	if s.lapseGrace <= 0 || !s.wasAway(now) {
		return
	}
	s.broadcaster.SetGrace(now.Add(s.lapseGrace))
	s.grace(s.lapseGrace)
}

// taker returns what puts the views of another host's frames on their shelves.
func (s *Supplier) taker() func(f frame.Frame) error {
	// ahead is how far this host's clock is ahead of the other one's.
	var ahead time.Duration
	return func(f frame.Frame) error {
		if f.IsPulse() {
			ahead = s.clock().Sub(time.UnixMilli(f.AtMS))
			return nil
		}
		return s.take(f, ahead)
	}
}

// take puts the view of a frame on its shelf; a grace counts before what the frame leaves out.
func (s *Supplier) take(f frame.Frame, ahead time.Duration) error {
	now := s.clock()
	if left := time.Duration(f.GraceMS) * time.Millisecond; left > 0 {
		s.broadcaster.SetGrace(now.Add(left))
		s.grace(left)
	}
	switch f.Feed {
	case feedConfiguration:
		return put(s.configuration, f, now)
	case feedEndpoints:
		v, err := frame.View[host.Host](f, now)
		if err != nil {
			return err
		}
		return s.endpoints.PutTold(byOwnClock(v, ahead))
	case feedZonesOut:
		return put(s.zonesOut, f, now)
	case feedMembers:
		return put(s.members, f, now)
	default:
		return nil
	}
}

// clockTolerance is how far the clocks of two hosts may lie apart without a difference: less than the heartbeats by which
// endpoints tell their times.
const clockTolerance = 100 * time.Millisecond

// byOwnClock returns the view with the times of this host's clock, which is ahead of the teller's by the given time.
func byOwnClock(v view.View[host.Host], ahead time.Duration) view.View[host.Host] {
	if ahead.Abs() < clockTolerance {
		return v
	}
	for id, h := range v.Items {
		v.Items[id] = h.WithClock(ahead)
	}
	for i, c := range v.Changed {
		v.Changed[i].Value = c.Value.WithClock(ahead)
	}
	return v
}

func put[T any](on *shelf.Shelf[T], f frame.Frame, now time.Time) error {
	v, err := frame.View[T](f, now)
	if err != nil {
		return err
	}
	return on.PutTold(v)
}
