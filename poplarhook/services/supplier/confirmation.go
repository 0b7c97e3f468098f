package supplier

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/clockanchor"
	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/models/view"
)

// confirmations records when the configuration in force was known to be current.
type confirmations interface {
	Confirm(now, at time.Duration)
	ConfirmedAt() (at time.Duration, confirmed bool)
	Age(now time.Duration) (age time.Duration, confirmed bool)
}

// strictRevocation is what a supplier needs to confirm the configuration; it is nil where revocation is not strict.
type strictRevocation struct {
	confirmations confirmations
	// clock returns the time since the machine was started, also while it is suspended.
	clock func() time.Duration
	bound time.Duration
}

// WithStrictRevocation makes the supplier record at which time, on a clock that counts suspensions too, the
// configuration was known to be current, and pass that on to readers. Keys must not be accepted later than the bound
// after a configuration without them.
func WithStrictRevocation(c confirmations, clock func() time.Duration, bound time.Duration) Option {
	return func(s *Supplier) { s.revocation = &strictRevocation{confirmations: c, clock: clock, bound: bound} }
}

const (
	// watchDivisor bounds the wait of a watch of the configuration to this part of the bound on revocations, since only an
	// answered watch confirms anything.
	watchDivisor = 4
	// listAgePercent is the age of the confirmation, as a part of the bound, from which the configuration is listed again.
	// Answered watches keep the age under half of the bound; what is left is for the pause between two polls and for the
	// way to the readers.
	listAgePercent = 55
	// leaveAgePercent is the age of the confirmation, as a part of the bound, from which a source that confirms nothing is
	// left. What is left until keys are refused suffices for a list of the store.
	leaveAgePercent = 80
)

var (
	// errAnchorExpired means that the stream must be requested again to compare the clocks of the two hosts.
	errAnchorExpired = errors.New("comparison of the clocks has expired")
	// errUnconfirmed means that the source has confirmed nothing for too long, although it sends lines.
	errUnconfirmed = errors.New("source does not confirm the configuration")
)

// configurationWait returns how long a watch of the configuration may wait.
func (s *Supplier) configurationWait() time.Duration {
	if s.revocation == nil {
		return s.watchWait
	}
	return min(s.watchWait, s.revocation.bound/watchDivisor)
}

// now returns the current time of the clock for confirmations, zero if there are none.
func (r *strictRevocation) now() time.Duration {
	if r == nil {
		return 0
	}
	return r.clock()
}

// confirm records that the configuration was current at the given time.
func (r *strictRevocation) confirm(at time.Duration) {
	if r != nil {
		r.confirmations.Confirm(r.clock(), at)
	}
}

// read returns the current time and that of the latest confirmation, zero if there is none.
func (r *strictRevocation) read() (now, confirmed time.Duration) {
	confirmed, _ = r.confirmations.ConfirmedAt()
	return r.clock(), confirmed
}

// storeConfirmation combines what a host that follows the store knows about its configuration. It is safe for concurrent
// use.
//
// A list shows the configuration itself. An answered watch shows that nothing has changed, but a faulty one may return
// nothing while the store goes on; the count of changes, compared with the store's revision by each poll, shows that.
// So both must have confirmed the configuration.
type storeConfirmation struct {
	revocation *strictRevocation

	mu              sync.Mutex
	watched, polled time.Duration
}

// recordList records that a list requested at the given time was applied.
func (c *storeConfirmation) recordList(at time.Duration) {
	c.record(at, at)
}

// recordWatch records that a watch requested at the given time was answered and its changes were applied.
func (c *storeConfirmation) recordWatch(at time.Duration) {
	c.record(at, 0)
}

// recordPoll records that all changes before the given time were counted.
func (c *storeConfirmation) recordPoll(at time.Duration) {
	c.record(0, at)
}

func (c *storeConfirmation) record(watched, polled time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = max(c.watched, watched)
	c.polled = max(c.polled, polled)
	c.revocation.confirm(min(c.watched, c.polled))
}

// confirmByPoll records the poll that was requested at the given time and returned the store's revision. The changes
// counted before the request must explain that revision: changes counted later may be newer than the revision and hide
// one that a watch has missed. If nothing has confirmed the configuration for too long, it is listed.
func (d *storeSession) confirmByPoll(ctx context.Context, at time.Duration, explained bool) {
	r := d.supplier.revocation
	if r == nil {
		return
	}
	if explained {
		d.confirmation.recordPoll(at)
	}
	if d.cancelWatches == nil {
		// The watches start with a list.
		return
	}
	age, confirmed := r.confirmations.Age(r.clock())
	if confirmed && age*100 < r.bound*listAgePercent {
		return
	}
	d.listConfiguration(ctx)
}

// listConfiguration lists the configuration outside of its watch.
func (d *storeSession) listConfiguration(ctx context.Context) {
	s := d.supplier
	ctx, cancel := context.WithTimeout(ctx, s.times.pollTimeout)
	defer cancel()
	requestedAt := s.revocation.now()
	items, revision, err := s.store.Configurations.List(ctx)
	if err != nil {
		s.counter("configuration_unconfirmed")
		s.logger.Warn("listing the configuration to confirm it failed", zap.String("error", err.Error()))
		return
	}
	s.counter("configuration_listed_to_confirm")
	if s.recordRevision(revision) {
		d.requestRelist()
	}
	target := s.newestConfiguration()
	listed := view.View[snapshot.Snapshot]{Items: items, Revision: revision, ConfirmedAt: s.clock()}
	if !target.isOlder(listed) && !reflect.DeepEqual(target.Get().Items, items) {
		// A list that changes nothing is not put, since the whole configuration would be sent to all readers.
		target.PutList(listed)
	}
	d.confirmation.recordList(requestedAt)
}

// peerConfirmation derives the time at which the configuration was current from the heartbeats of one stream.
type peerConfirmation struct {
	revocation *strictRevocation
	anchor     *clockanchor.Anchor
	// requestedAt is when the stream was requested.
	requestedAt time.Duration
}

// newPeerConfirmation returns the peerConfirmation of a stream that is requested right afterwards.
func (s *Supplier) newPeerConfirmation() *peerConfirmation {
	now := s.revocation.now()
	return &peerConfirmation{revocation: s.revocation, anchor: clockanchor.New(now), requestedAt: now}
}

// record records the confirmation in a heartbeat, whose stream has sent the configuration before. It returns
// errAnchorExpired or errUnconfirmed if the stream must not be read further.
func (p *peerConfirmation) record(heartbeat frame.Frame) error {
	if p.revocation == nil {
		return nil
	}
	now := p.revocation.now()
	clock, confirmed := heartbeat.Confirmation()
	if at, ok := p.anchor.Convert(now, clock, confirmed); ok {
		p.revocation.confirm(at)
	}
	limit := p.revocation.bound * leaveAgePercent / 100
	age, known := p.revocation.confirmations.Age(now)
	switch {
	case now-p.requestedAt > limit && (!known || age > limit):
		return errUnconfirmed
	case p.anchor.IsExpired(now):
		return errAnchorExpired
	default:
		return nil
	}
}

// confirming returns a function that applies frames of one stream, which is requested right afterwards, and records the
// confirmations in its heartbeats.
func (s *Supplier) confirming(apply func(f frame.Frame) error) func(f frame.Frame) error {
	confirmation := s.newPeerConfirmation()
	return func(f frame.Frame) error {
		if err := apply(f); err != nil {
			return err
		}
		if f.IsHeartbeat() {
			return confirmation.record(f)
		}
		return nil
	}
}
