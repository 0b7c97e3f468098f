package leaser

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"poplarhook.example/lib/lease"
	"poplarhook.example/lib/leasestep"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

const (
	// marginDivisor sets the default margin: the holder does not use the last tenth of a term, because the clocks of
	// hosts may run at different rates.
	marginDivisor = 10
	// renewDivisor sets the renewal time: the holder renews the lease after a third of the term, and other hosts read
	// the lease again after at most that time.
	renewDivisor = 3
	// maxPollInterval is the longest time between two reads of a lease that another host holds. It bounds how late a
	// release is noticed.
	maxPollInterval = 250 * time.Millisecond
	// retryDivisor sets the wait time after a failed call, which is a fifth of a term.
	retryDivisor = 5
	// maxUnknownWrites is the largest number of writes with an unknown outcome that are kept.
	maxUnknownWrites = 16
)

// Leaser is the state machine of one host for one lease. It makes no calls, reads no clock and is not safe for
// concurrent use.
//
// The caller reports the result of each call that Next requests with one call of OnRead or OnWrite. The host must
// send no cold work while Holds returns false; work that it sent before ends within the longest deadline.
type Leaser struct {
	holder      string
	ttl         time.Duration
	maxDeadline time.Duration
	margin      time.Duration
	newNonce    func() string

	wanted        bool
	callPending   bool
	lastWrite     sentWrite
	unknownWrites []sentWrite

	// observed is true once version, current and observedAt describe a state that was read from or written to the
	// store.
	observed   bool
	version    int64
	current    lease.Lease
	observedAt time.Time
	// minVersion is the lowest version that a read may return; a read of a lower version is outdated and counts as
	// failed.
	minVersion int64

	// owned is true if this Leaser wrote current, with a write that was sent at termStart.
	owned     bool
	termStart time.Time
	// confirmed is false at the start and after any error, until the next successful read or write.
	confirmed bool
	// usedUntil is the latest time at which this host may send, or may have sent, work under the lease.
	usedUntil  time.Time
	retryAt    time.Time
	lastReadAt time.Time
}

// sentWrite is a write that was sent to the store.
type sentWrite struct {
	value     lease.Lease
	ifVersion int64
	sentAt    time.Time
}

// Option changes a setting of a Leaser.
type Option func(*Leaser)

// WithMargin sets how long before the end of its term the holder stops using the lease.
func WithMargin(margin time.Duration) Option {
	return func(l *Leaser) { l.margin = margin }
}

// WithNonces sets the source of nonces, which must be unique over all hosts.
func WithNonces(newNonce func() string) Option {
	return func(l *Leaser) { l.newNonce = newNonce }
}

// New returns a Leaser that does not want the lease yet. Work under the lease must end within maxDeadline after it was
// sent.
func New(holder string, ttl, maxDeadline time.Duration, options ...Option) *Leaser {
	l := &Leaser{
		holder:      holder,
		ttl:         ttl,
		maxDeadline: maxDeadline,
		margin:      ttl / marginDivisor,
		newNonce:    uuid.NewString,
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetWanted sets whether this host wants the lease. If it is no longer wanted, Holds returns false from now on, and
// if this host owns the lease, Next returns the write that releases it as soon as no other read or write is pending.
func (l *Leaser) SetWanted(wanted bool) {
	l.wanted = wanted
}

// Holds returns the lease's epoch and true while this host may use the lease, and records that work may be sent under
// it at the given time. It must be called right before each use.
func (l *Leaser) Holds(now time.Time) (epoch int64, ok bool) {
	if !l.wanted || !l.owned || !l.confirmed || l.isExpired(now) {
		return 0, false
	}
	l.MarkUsedUntil(now)
	return l.current.Epoch, true
}

// MarkUsedUntil records that work may be sent under the lease until the given time. The next holder waits for the end
// of that work.
func (l *Leaser) MarkUsedUntil(until time.Time) {
	if until.After(l.usedUntil) {
		l.usedUntil = until
	}
}

// UsableUntil returns the time from which the lease must not be used, or the zero time if it must not be used now.
func (l *Leaser) UsableUntil(now time.Time) time.Time {
	if !l.wanted || !l.owned || !l.confirmed || l.isExpired(now) {
		return time.Time{}
	}
	return l.termStart.Add(l.ttl - l.margin)
}

// LastSeen returns the newest known state of the lease, which any host may hold.
func (l *Leaser) LastSeen() lease.Lease {
	return l.current
}

// Next returns the next step: a read, a write or a time to wait. After a read or a write, it returns only times to wait
// until the result of that call is reported.
func (l *Leaser) Next(now time.Time) leasestep.Step {
	switch {
	case l.callPending:
		return newWaitStep(l.ttl)
	case !l.wanted:
		return l.nextUnwanted(now)
	case now.Before(l.retryAt):
		return newWaitStep(l.retryAt.Sub(now))
	case !l.confirmed:
		return l.startRead()
	case l.owned:
		return l.nextOwned(now)
	default:
		return l.nextNotOwned(now)
	}
}

// OnRead processes the answer to a read that arrived at now.
func (l *Leaser) OnRead(now time.Time, found object.Object, err error) {
	l.callPending = false
	l.lastReadAt = now
	if errors.Is(err, storer.ErrNotFound) {
		found, err = object.Object{}, nil
	}
	if err != nil || found.Version < l.minVersion {
		l.scheduleRetry(now)
		return
	}
	value, err := parseObject(found)
	if err != nil {
		l.scheduleRetry(now)
		return
	}
	if !l.observed || found.Version > l.version {
		l.setCurrent(now, found.Version, value)
	}
	l.confirmed = true
}

// OnWrite processes the answer to a write that arrived at now; sentAt is a time before the write was sent.
func (l *Leaser) OnWrite(now, sentAt time.Time, version int64, err error) {
	l.callPending = false
	sent := l.lastWrite
	sent.sentAt = sentAt
	switch {
	case err == nil:
		l.unknownWrites = append(l.unknownWrites, sent)
		l.setCurrent(now, version, sent.value)
		l.confirmed = true
	case errors.Is(err, storer.ErrConflict):
		l.minVersion = max(l.minVersion, sent.ifVersion+1)
		l.confirmed = false
	case errors.Is(err, storer.ErrUnavailable):
		l.scheduleRetry(now)
	default:
		l.addUnknownWrite(sent)
		l.confirmed = false
	}
}

func (l *Leaser) nextUnwanted(now time.Time) leasestep.Step {
	if !l.owned {
		return newWaitStep(l.ttl)
	}
	// The unknown writes are dropped so that no later read can restore the ownership by one of their nonces, even if
	// the following write fails.
	l.owned = false
	l.confirmed = false
	l.unknownWrites = nil
	return l.startWrite(l.current.Released(l.usedUntil.Add(l.maxDeadline).Sub(now)))
}

func (l *Leaser) nextOwned(now time.Time) leasestep.Step {
	renewAt := l.termStart.Add(l.ttl / renewDivisor)
	if now.Before(renewAt) {
		return newWaitStep(renewAt.Sub(now))
	}
	if l.isExpired(now) {
		return l.startWrite(l.newLease(l.current.Epoch + 1))
	}
	return l.startWrite(l.newLease(l.current.Epoch))
}

func (l *Leaser) nextNotOwned(now time.Time) leasestep.Step {
	freeAt := l.observedAt.Add(l.current.Quarantine())
	if l.version == 0 || !now.Before(freeAt) {
		return l.startWrite(l.newLease(l.current.Epoch + 1))
	}
	nextReadAt := l.lastReadAt.Add(min(l.ttl/renewDivisor, maxPollInterval))
	if !now.Before(nextReadAt) {
		return l.startRead()
	}
	return newWaitStep(min(nextReadAt.Sub(now), freeAt.Sub(now)))
}

func (l *Leaser) isExpired(now time.Time) bool {
	return !now.Before(l.termStart.Add(l.ttl - l.margin))
}

func (l *Leaser) newLease(epoch int64) lease.Lease {
	return lease.Lease{
		Holder:        l.holder,
		Epoch:         epoch,
		TTLMS:         l.ttl.Milliseconds(),
		MaxDeadlineMS: l.maxDeadline.Milliseconds(),
	}
}

func (l *Leaser) startRead() leasestep.Step {
	l.callPending = true
	return leasestep.Step{Kind: leasestep.Read}
}

func (l *Leaser) startWrite(value lease.Lease) leasestep.Step {
	l.callPending = true
	value.Nonce = l.newNonce()
	l.lastWrite = sentWrite{value: value, ifVersion: l.version}
	return leasestep.Step{Kind: leasestep.Write, Value: value.Encode(), IfVersion: l.version}
}

// scheduleRetry marks the lease as unconfirmed and delays the next call.
func (l *Leaser) scheduleRetry(now time.Time) {
	l.confirmed = false
	l.retryAt = now.Add(l.ttl / retryDivisor)
}

// addUnknownWrite keeps a write with an unknown outcome. A later read that returns its nonce shows that it was applied.
func (l *Leaser) addUnknownWrite(sent sentWrite) {
	l.unknownWrites = append(l.unknownWrites, sent)
	if len(l.unknownWrites) > maxUnknownWrites {
		l.unknownWrites = l.unknownWrites[1:]
	}
}

// setCurrent replaces the known state of the lease by that of a newer version. This host owns the lease from then on
// only if the nonce shows that one of its own writes stored that version.
func (l *Leaser) setCurrent(now time.Time, version int64, value lease.Lease) {
	l.observed = true
	l.version = version
	l.minVersion = max(l.minVersion, version)
	l.current = value
	l.observedAt = now
	l.owned = false
	remaining := l.unknownWrites[:0]
	for _, sent := range l.unknownWrites {
		if sent.value.Nonce == value.Nonce && value.Holder == l.holder {
			l.owned = true
			l.termStart = sent.sentAt
		}
		// A write whose precondition names an older version can no longer be applied.
		if sent.ifVersion >= version {
			remaining = append(remaining, sent)
		}
	}
	l.unknownWrites = remaining
}

func parseObject(found object.Object) (lease.Lease, error) {
	if found.Version == 0 {
		return lease.Lease{}, nil
	}
	return lease.Parse(found.Value)
}

func newWaitStep(d time.Duration) leasestep.Step {
	return leasestep.Step{Kind: leasestep.None, Wait: d}
}
