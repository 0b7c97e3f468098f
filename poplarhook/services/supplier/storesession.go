package supplier

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/follower"
)

// maxWatchWait is the longest time that a watch waits for changes; the polls of the store's revision detect a watch
// that returns nothing.
const maxWatchWait = 25 * time.Second

// storeSession is one session in which this host follows the store itself.
type storeSession struct {
	supplier *Supplier
	// onStarted is called at each successful poll of the store; only its first call has an effect.
	onStarted func()
	// lastPollSucceeded is true if the store answered the last poll.
	lastPollSucceeded atomic.Bool
	// cancelWatches ends the running watches, nil while there are none.
	cancelWatches context.CancelFunc
	watches       sync.WaitGroup
	// relist requests that the configuration, endpoints and members are listed again: the store no longer has the
	// history that a watch needs, or the watches have missed changes.
	relist chan struct{}
	tally  tally
	// confirmation records when the configuration was current, if revocation is strict.
	confirmation storeConfirmation
	// behindSince is the time since which the store's revision is higher than the changes from the watches explain, zero
	// if it is not.
	behindSince time.Time
}

// followStore polls and watches the store until the context ends.
func (s *Supplier) followStore(ctx context.Context, onStarted func()) {
	d := &storeSession{supplier: s, onStarted: onStarted, relist: make(chan struct{}, 1), confirmation: storeConfirmation{revocation: s.revocation}}
	if s.hasRollouts() {
		d.tally.extraKinds = rolloutKinds
	}
	s.storeReachable.Store(false)
	s.counter("source_store")
	s.logger.Info("following the store")
	s.askForConfiguration(ctx)
	heartbeatsEnded := d.sendHeartbeats(ctx)
	d.poll(ctx)
	d.stopWatches()
	<-heartbeatsEnded
}

// sendHeartbeats sends heartbeats to the readers while the store is reachable; the returned channel is closed after the
// context has ended.
func (d *storeSession) sendHeartbeats(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for pauser.Pause(ctx, d.supplier.times.heartbeatInterval) == nil {
			if d.lastPollSucceeded.Load() {
				d.supplier.broadcaster.SendHeartbeat(0)
			}
		}
	}()
	return ended
}

// poll polls the store's revision until the session ends. The store's answer also contains the availability zones that
// are out of service.
func (d *storeSession) poll(ctx context.Context) {
	retry := d.supplier.times.retryPause
	for ctx.Err() == nil {
		pause := d.supplier.times.pollInterval
		err := d.pollOnce(ctx)
		switch {
		case err == nil:
			d.pollSucceeded(ctx)
			retry = d.supplier.times.retryPause
		case ctx.Err() == nil:
			d.pollFailed(err)
			d.supplier.readSeeds(ctx)
			pause = retry
			retry = min(2*retry, d.supplier.times.maxRetryPause)
		}
		d.waitForNextPoll(ctx, pause)
	}
}

// waitForNextPoll waits until the next poll is due, or until a relisting is requested, which it starts.
func (d *storeSession) waitForNextPoll(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.relist:
		d.stopWatches()
		d.startWatches(ctx)
	}
}

// pollOnce lists the availability zones that are out of service and compares the store's revision with the changes that
// the watches returned.
func (d *storeSession) pollOnce(ctx context.Context) error {
	requestedAt := d.supplier.revocation.now()
	explained, complete := d.tally.explainedByNow()
	callCtx, cancel := context.WithTimeout(ctx, d.supplier.times.pollTimeout)
	defer cancel()
	items, revision, err := d.supplier.store.ZonesOut.List(callCtx)
	if err != nil {
		return err
	}
	now := d.supplier.clock()
	if d.supplier.recordRevision(revision) {
		// The watches may hang with revisions that the store no longer has.
		d.requestRelist()
	}
	known := d.supplier.zonesOut.Get()
	n := countDifferences(known.Items, items)
	d.tally.recordPoll(n, complete)
	if known.Revision == 0 || n > 0 || d.supplier.store.IsRestored(known.Revision, revision) {
		d.supplier.zonesOut.PutList(view.View[json.RawMessage]{Items: items, Revision: revision, ConfirmedAt: now})
	}
	d.checkTally(now, revision)
	d.confirmByPoll(ctx, requestedAt, complete && explained >= revision)
	return nil
}

// checkTally requests a relisting when the store has been ahead of the watches for too long.
//
// Comparing with the highest revision that a watch returned is not enough: one
// watch may hang while others continue. Each change raises the store's revision
// by one, so the number of changes that the watches returned must add up to it.
func (d *storeSession) checkTally(now time.Time, revision int64) {
	if !d.tally.isBehind(revision) {
		d.behindSince = time.Time{}
		return
	}
	if d.behindSince.IsZero() {
		d.behindSince = now
		return
	}
	if now.Sub(d.behindSince) < d.supplier.times.maxWatchDelay {
		return
	}
	d.supplier.logger.Warn("watches missed changes of the store; listing everything again", zap.Int64("store_revision", revision), zap.Int64("accounted", d.tally.explainedRevision()))
	d.behindSince = time.Time{}
	d.requestRelist()
}

// newestRevision returns the highest revision of the local views.
func (d *storeSession) newestRevision() int64 {
	s := d.supplier
	return max(s.configuration.Get().Revision, s.endpoints.Get().Revision, s.members.Get().Revision, s.zonesOut.Get().Revision)
}

// pollFailed marks the store as not answering. At the first failure after a success this host's views also stop
// counting as up to date, this host accepts no new readers, and its readers are notified.
func (d *storeSession) pollFailed(err error) {
	d.supplier.storeReachable.Store(false)
	if d.lastPollSucceeded.Swap(false) {
		d.supplier.logger.Warn("store does not answer", zap.String("error", err.Error()), zap.Int64("revision", d.newestRevision()))
		d.supplier.setUpToDate(false)
		d.supplier.broadcaster.SetServing(false)
		select {
		case d.supplier.storeLost <- struct{}{}:
		default:
		}
	}
	d.supplier.broadcaster.SendLost()
	d.supplier.recordUnanswered()
}

// pollSucceeded marks the store as answering and this host's views as up to date, starts the watches unless they run,
// and accepts readers. After an outage of the store it starts a grace period first.
func (d *storeSession) pollSucceeded(ctx context.Context) {
	d.supplier.startGracePeriod()
	d.supplier.storeReachable.Store(true)
	if !d.lastPollSucceeded.Swap(true) {
		d.supplier.logger.Info("store answers", zap.Int64("revision", d.newestRevision()))
	}
	if d.cancelWatches == nil {
		d.startWatches(ctx)
	}
	d.supplier.setUpToDate(true)
	d.supplier.broadcaster.SetServing(true)
	d.onStarted()
}

// startWatches lists and watches the configuration, the endpoints and the members.
func (d *storeSession) startWatches(ctx context.Context) {
	s := d.supplier
	ctx, d.cancelWatches = context.WithCancel(ctx)
	d.tally.reset()
	options := []follower.Option{
		follower.WithClock(s.clock),
		follower.WithLogger(s.logger),
		follower.WithHistoryGone(s.store.HistoryGone, d.requestRelist),
		follower.WithWait(s.watchWait),
		follower.WithTally(func(revision int64) {
			if s.recordRevision(revision) {
				d.requestRelist()
			}
			d.tally.recordList(revision)
		}, d.tally.recordChanges),
	}
	batching := slices.Concat(options, []follower.Option{follower.WithPause(s.times.batchPause)})
	ends := []<-chan error{
		follower.New(feedConfiguration, s.store.Configurations, s.newestConfiguration(), slices.Concat(options, d.configurationOptions())...).Run(ctx),
		follower.New(feedEndpoints, s.store.Endpoints, s.endpoints, batching...).Run(ctx),
		follower.New(feedMembers, s.store.Members, s.members, batching...).Run(ctx),
	}
	if s.hasRollouts() {
		ends = append(ends,
			follower.New(feedOrders, s.store.Orders, s.orders, options...).Run(ctx),
			follower.New(feedRolloutStates, s.idleStates(), s.rolloutStates, options...).Run(ctx))
	}
	for _, end := range ends {
		d.watches.Go(func() {
			if err := <-end; err != nil {
				s.logger.Error("watch ended", zap.String("error", err.Error()))
			}
		})
	}
}

// configurationOptions returns the further options of the follower of the configuration.
func (d *storeSession) configurationOptions() []follower.Option {
	if d.supplier.revocation == nil {
		return nil
	}
	return []follower.Option{
		follower.WithWait(d.supplier.configurationWait()),
		follower.WithConfirmations(d.supplier.revocation.clock, d.confirmation.recordList, d.confirmation.recordWatch),
	}
}

// requestRelist requests that the configuration, endpoints and members are listed again, unless that is requested
// already.
func (d *storeSession) requestRelist() {
	select {
	case d.relist <- struct{}{}:
	default:
	}
}

// stopWatches cancels the running watches and waits until they have ended.
func (d *storeSession) stopWatches() {
	if d.cancelWatches == nil {
		return
	}
	d.cancelWatches()
	d.cancelWatches = nil
	d.watches.Wait()
}

// countDifferences returns the number of names that are in only one of the two maps.
func countDifferences[T any](a, b map[string]T) int {
	n := 0
	for name := range a {
		if _, both := b[name]; !both {
			n++
		}
	}
	for name := range b {
		if _, both := a[name]; !both {
			n++
		}
	}
	return n
}

const (
	// firstRegisterPause is the pause after the first failed attempt to write this host's entry. It doubles after each
	// further one, up to maxRegisterPause.
	firstRegisterPause = 200 * time.Millisecond
	maxRegisterPause   = 2 * time.Second
)

// register tries to write this host's entry until the store accepts it, and again when a restored store has lost it; the
// channel receives nil once the context has ended.
func (s *Supplier) register(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for s.registerUntilDone(ctx); s.awaitLostEntry(ctx); s.registerUntilDone(ctx) {
			s.counter("registered_again")
		}
		done <- nil
	}()
	return done
}

// registerUntilDone tries to write this host's entry until the store accepts it or the context ends.
func (s *Supplier) registerUntilDone(ctx context.Context) {
	pause := firstRegisterPause
	for ctx.Err() == nil {
		err := s.registerOnce(ctx)
		if err == nil {
			return
		}
		s.logger.Warn("registering this host in the store failed; trying again", zap.String("error", err.Error()))
		_ = pauser.Pause(ctx, pause)
		pause = min(2*pause, maxRegisterPause)
	}
}

// registerTimeout bounds one attempt to write this host's entry.
const registerTimeout = 2 * time.Second

func (s *Supplier) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return s.store.Register(ctx, s.self)
}
