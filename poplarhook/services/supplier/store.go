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

// maxWatchWait is the longest that a watch waits; the source's questions notice one that hears nothing.
const maxWatchWait = 25 * time.Second

// direct is one spell in which this host follows the store itself.
type direct struct {
	s *Supplier
	// begun is called once the store is heard.
	begun func()
	// heard says that the store answered the last question.
	heard atomic.Bool
	// watching ends the watches that run, nil while there are none.
	watching context.CancelFunc
	watches  sync.WaitGroup
	// forgotten tells that a watch has lost its history, so that the others may have missed changes too.
	forgotten chan struct{}
	tally     tally
	// behindSince is since when the store's revision is above what the watches account for, zero if it is not.
	behindSince time.Time
}

// follow follows the store until the context ends.
func (s *Supplier) follow(ctx context.Context, begun func()) {
	d := &direct{s: s, begun: begun, forgotten: make(chan struct{}, 1)}
	s.storeHeard.Store(false)
	s.counter("source_store")
	s.logger.Info("following the store")
	pulsed := d.pulse(ctx)
	d.check(ctx)
	d.stopWatches()
	<-pulsed
}

// pulse tells readers that the store is heard, for as long as it is; the channel is closed at the end of the context.
func (d *direct) pulse(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for pauser.Pause(ctx, d.s.times.pulse) == nil {
			if d.heard.Load() {
				d.s.broadcaster.Pulse(0)
			}
		}
	}()
	return ended
}

// check asks for the store's revision until the spell ends; its answer is also the list of the zones that are out.
func (d *direct) check(ctx context.Context) {
	retry := d.s.times.retry
	for ctx.Err() == nil {
		pause := d.s.times.interval
		err := d.ask(ctx)
		switch {
		case err == nil:
			d.hear(ctx)
			retry = d.s.times.retry
		case ctx.Err() == nil:
			d.miss(err)
			d.s.askSeeds(ctx)
			pause = retry
			retry = min(2*retry, d.s.times.retryMax)
		}
		d.pause(ctx, pause)
	}
}

// pause waits for the next question; meanwhile all is listed anew when a watch has lost its history.
func (d *direct) pause(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-d.forgotten:
		d.stopWatches()
		d.startWatches(ctx)
	}
}

// ask lists the zones that are out and compares the store's revision with what the watches brought.
func (d *direct) ask(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.s.times.timeout)
	defer cancel()
	items, revision, err := d.s.store.ZonesOut.List(ctx)
	if err != nil {
		return err
	}
	now := d.s.clock()
	known := d.s.zonesOut.Get()
	n := differences(known.Items, items)
	d.tally.read(n)
	if known.Revision == 0 || n > 0 {
		d.s.zonesOut.PutList(view.View[json.RawMessage]{Items: items, Revision: revision, HeardAt: now})
	}
	d.compare(now, revision)
	return nil
}

// compare has all listed anew when the store has been ahead of the watches for too long.
//
// The highest revision that a watch brought does not tell: one watch may hang
// while others go on. Each change raises the store's revision by one, so those
// that the watches brought must add up.
func (d *direct) compare(now time.Time, revision int64) {
	if !d.tally.isBehind(revision) {
		d.behindSince = time.Time{}
		return
	}
	if d.behindSince.IsZero() {
		d.behindSince = now
		return
	}
	if now.Sub(d.behindSince) < d.s.times.settle {
		return
	}
	d.s.logger.Warn("the store is ahead of its watches, listing anew", zap.Int64("store_revision", revision), zap.Int64("accounted", d.tally.accounted()))
	d.behindSince = time.Time{}
	d.forget()
}

// newest returns the highest revision that is known.
func (d *direct) newest() int64 {
	s := d.s
	return max(s.configuration.Get().Revision, s.endpoints.Get().Revision, s.members.Get().Revision, s.zonesOut.Get().Revision)
}

func (d *direct) miss(err error) {
	d.s.storeHeard.Store(false)
	if d.heard.Swap(false) {
		d.s.logger.Warn("store lost", zap.String("error", err.Error()), zap.Int64("revision", d.newest()))
		d.s.setHeard(false)
		d.s.broadcaster.SetServing(false)
		select {
		case d.s.storeLost <- struct{}{}:
		default:
		}
	}
	d.s.broadcaster.TellLost()
	d.s.miss()
}

func (d *direct) hear(ctx context.Context) {
	d.s.returned()
	d.s.storeHeard.Store(true)
	if !d.heard.Swap(true) {
		d.s.logger.Info("store heard", zap.Int64("revision", d.newest()))
	}
	if d.watching == nil {
		d.startWatches(ctx)
	}
	d.s.setHeard(true)
	d.s.broadcaster.SetServing(true)
	d.begun()
}

// startWatches lists and watches everything.
func (d *direct) startWatches(ctx context.Context) {
	s := d.s
	ctx, d.watching = context.WithCancel(ctx)
	d.tally.reset()
	options := []follower.Option{
		follower.WithClock(s.clock),
		follower.WithLogger(s.logger),
		follower.WithForgotten(s.store.Forgotten, d.forget),
		follower.WithWait(s.watchWait),
		follower.WithTally(d.tally.listed, d.tally.changed),
	}
	gathering := slices.Concat(options, []follower.Option{follower.WithPause(s.times.gather)})
	ends := []<-chan error{
		follower.New(feedConfiguration, s.store.Configurations, s.configuration, options...).Run(ctx),
		follower.New(feedEndpoints, s.store.Endpoints, s.endpoints, gathering...).Run(ctx),
		follower.New(feedMembers, s.store.Members, s.members, gathering...).Run(ctx),
	}
	for _, end := range ends {
		d.watches.Go(func() {
			if err := <-end; err != nil {
				s.logger.Error("watch ended", zap.String("error", err.Error()))
			}
		})
	}
}

// forget has everything listed anew.
func (d *direct) forget() {
	select {
	case d.forgotten <- struct{}{}:
	default:
	}
}

func (d *direct) stopWatches() {
	if d.watching == nil {
		return
	}
	d.watching()
	d.watching = nil
	d.watches.Wait()
}

// differences returns how many names are in one of the maps only.
func differences[T any](a, b map[string]T) int {
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
	firstRegisterPause = 200 * time.Millisecond
	lastRegisterPause  = 2 * time.Second
)

// register writes this host's entry until the store has taken it; the channel gives the end.
func (s *Supplier) register(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		pause := firstRegisterPause
		for ctx.Err() == nil {
			err := s.registerOnce(ctx)
			if err == nil {
				break
			}
			s.logger.Warn("own entry is not written yet", zap.String("error", err.Error()))
			_ = pauser.Pause(ctx, pause)
			pause = min(2*pause, lastRegisterPause)
		}
		done <- nil
	}()
	return done
}

// registerTimeout bounds one try to write the own entry.
const registerTimeout = 2 * time.Second

func (s *Supplier) registerOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return s.store.Register(ctx, s.self)
}
