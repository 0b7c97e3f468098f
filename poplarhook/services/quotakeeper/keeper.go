package quotakeeper

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/workspace"
	"poplarhook.example/poplarhook/models/delegator"
	"poplarhook.example/poplarhook/models/granter"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/viewstatus"
	"poplarhook.example/poplarhook/modules/bootclock"
)

const (
	// loopPause bounds how often the loop runs between the messages.
	loopPause = time.Millisecond
)

// Keeper limits the requests of workspaces; it is safe for concurrent use.
type Keeper struct {
	self   delegator.Peer
	clock  func() time.Duration
	logger *zap.Logger
	count  func(event string)
	// wake makes the loop run again.
	wake chan struct{}
	// active is true while there is a quota.
	active atomic.Bool

	mu        sync.Mutex
	granter   *granter.Granter
	delegator *delegator.Delegator
	current   string
	// loopAt is the time for which the loop has set its timer.
	loopAt time.Duration
	// streams are the open streams to pool hosts, by host, and serving those of hosts for which this one is the pool host.
	streams map[string]*stream
	// dials are the hosts to which the loop has to open a stream.
	dials   []delegator.Peer
	serving map[string]*servedStream
	stopped bool
	// readers counts the goroutines of streams.
	readers sync.WaitGroup
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithClock sets the clock; the default is that of package bootclock.
func WithClock(clock func() time.Duration) Option {
	return func(k *Keeper) { k.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(logger *zap.Logger) Option {
	return func(k *Keeper) { k.logger = logger }
}

// WithCounter sets the function that counts events.
func WithCounter(count func(event string)) Option {
	return func(k *Keeper) { k.count = count }
}

// New returns a Keeper of the host without quotas.
func New(self host.Host, limits granter.Limits, options ...Option) *Keeper {
	k := &Keeper{
		self: toPeer(self), clock: bootclock.Now, logger: zap.NewNop(), count: func(string) {}, current: self.ID,
		wake: make(chan struct{}, 1), streams: make(map[string]*stream), serving: make(map[string]*servedStream),
	}
	for _, option := range options {
		option(k)
	}
	k.granter = granter.New(limits)
	k.delegator = delegator.New(k.clock(), k.self, k.granter)
	return k
}

func toPeer(h host.Host) delegator.Peer {
	return delegator.Peer{ID: h.ID, Address: h.PeerAddress, Region: h.Region, Capacity: h.Capacity}
}

// SetLimits replaces the bounds on the excess over quotas.
func (k *Keeper) SetLimits(l granter.Limits) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.granter.SetLimits(l)
}

// SetMembers replaces the list of entry hosts.
func (k *Keeper) SetMembers(members []host.Host) {
	peers := make([]delegator.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, toPeer(m))
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delegator.SetPeers(peers)
	k.poke()
}

// SetWorkspaces replaces the quotas. Without a quota the Keeper opens no streams and sends no messages.
func (k *Keeper) SetWorkspaces(workspaces []workspace.Workspace) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delegator.SetWorkspaces(k.clock(), workspaces)
	k.active.Store(k.delegator.IsActive())
	k.poke()
}

// poke makes the loop run again.
func (k *Keeper) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Acquire takes one token of the workspace. It waits for the pool host for a short time, at most until the given time.
// Its error is the refusal of a request that was not run.
func (k *Keeper) Acquire(ctx context.Context, w workspace.Workspace, until time.Time) error {
	if !w.HasQuota() || !k.active.Load() {
		return nil
	}
	ticket, wait := k.ask(w.Name)
	if !isDone(ticket) {
		k.await(ctx, ticket, min(time.Until(until), wait))
	}
	return k.result(w, ticket)
}

// ask returns a ticket of the workspace and for how long the request should wait for it, and sends the Ask for it if one is
// due.
func (k *Keeper) ask(name string) (*delegator.Ticket, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	wait := k.delegator.Wait(now)
	ticket := k.delegator.Acquire(now, name)
	k.tick(now)
	return ticket, wait
}

func isDone(t *delegator.Ticket) bool {
	select {
	case <-t.Done():
		return true
	default:
		return false
	}
}

// await waits until the ticket is decided, and gives up after the wait.
func (k *Keeper) await(ctx context.Context, ticket *delegator.Ticket, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ticket.Done():
		return
	case <-timer.C:
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delegator.Abandon(ticket)
}

// result returns the refusal of the request, nil if it got a token.
func (k *Keeper) result(w workspace.Workspace, t *delegator.Ticket) error {
	switch t.State() {
	case delegator.Granted:
		k.count("quota_granted")
		return nil
	case delegator.OverQuota:
		k.count("quota_exceeded")
		return refusal.NotRun(http.StatusTooManyRequests, "workspace "+w.Name+" has used up its quota").WithRetryAfter(t.RetryAfter())
	case delegator.Unknown:
		k.count("quota_unknown")
		return refusal.NotRun(http.StatusServiceUnavailable, "quota pool host does not know the quota of workspace "+w.Name+" yet").WithRetryAfter(spread(t.RetryAfter()))
	default:
		k.count("quota_unanswered")
		return refusal.NotRun(http.StatusServiceUnavailable, "no quota pool host has answered in time").WithRetryAfter(spread(t.RetryAfter()))
	}
}

// spread returns a time from the given one to twice as long, so that callers refused together return at different times.
func spread(retry time.Duration) time.Duration {
	return retry + rand.N(max(retry, time.Millisecond))
}

// Release returns the token of a request that did not run.
func (k *Keeper) Release(w workspace.Workspace) {
	if !w.HasQuota() || !k.active.Load() {
		return
	}
	k.count("quota_returned")
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delegator.Release(w.Name)
}

// Run keeps the streams to pool hosts until the context ends; the channel receives the result at the end.
func (k *Keeper) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		k.loop(ctx)
		k.stop()
		k.readers.Wait()
		done <- nil
	}()
	return done
}

func (k *Keeper) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-timer.C:
		}
		if wait := k.step(ctx); k.active.Load() {
			timer.Reset(max(wait, loopPause))
		} else {
			timer.Stop()
		}
	}
}

// step does what is due, opens streams and returns the time until the next step.
func (k *Keeper) step(ctx context.Context) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	k.loopAt = 0
	k.loopAt = k.tick(now)
	k.open(ctx)
	return k.loopAt - now
}

// tick does what is due and returns the time of the next call. The caller holds the lock.
func (k *Keeper) tick(now time.Duration) time.Duration {
	if k.stopped {
		return now + time.Hour
	}
	actions := k.delegator.Tick(now)
	for _, id := range actions.Close {
		k.dials = slices.DeleteFunc(k.dials, func(p delegator.Peer) bool { return p.ID == id })
		if s, open := k.streams[id]; open {
			delete(k.streams, id)
			s.close()
		}
	}
	if len(actions.Dial) > 0 {
		k.dials = append(k.dials, actions.Dial...)
		k.poke()
	}
	for _, o := range actions.Send {
		if s, open := k.streams[o.To]; open {
			s.send(o.Ask)
		}
	}
	if current := k.delegator.Current(); current != k.current {
		k.logger.Info("quota pool host changed", zap.String("from", k.current), zap.String("to", current))
		k.count("quota_pool_changed")
		k.current = current
	}
	if k.loopAt > 0 && actions.Next < k.loopAt {
		k.poke()
	}
	return actions.Next
}

// stop closes all streams. The hosts for which this one is the pool host may use their shares again at once.
func (k *Keeper) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	for id, s := range k.streams {
		delete(k.streams, id)
		s.close()
	}
	for id, s := range k.serving {
		k.granter.Leave(k.clock(), id)
		s.close()
	}
}

// Status returns the state, nil if there is no quota.
func (k *Keeper) Status() *viewstatus.Quota {
	if !k.active.Load() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	s := &viewstatus.Quota{
		PoolHost: k.delegator.Current(), Delegated: k.delegator.IsDelegated(now),
		Fraction: k.granter.Fraction(now), Delegations: k.granter.Delegations(now),
	}
	if s.Delegations > 0 {
		s.Tokens = k.granter.Tokens(now)
	}
	return s
}
