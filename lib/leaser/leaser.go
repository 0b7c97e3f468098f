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
	// marginShare is the part of a term that its holder leaves unused, for clocks that run at different rates.
	marginShare = 10
	// renewShare is the part of a term after which it is renewed, and after which others look again.
	renewShare = 3
	// lookEvery bounds the time between looks at another's lease, so that a release is soon seen.
	lookEvery = 250 * time.Millisecond
	// retryShare is the part of a term that passes after a failed call.
	retryShare = 5
	// maxUnsettled bounds the writes of unknown outcome that are remembered.
	maxUnsettled = 16
)

// Leaser is the state machine of one host for one lease; it does no calls and reads no clock, and is not safe for concurrent use.
//
// Each call that Next asks for is followed by one OnRead or OnWrite. A host that may not hold the lease sends no cold work,
// and the work that it sent before ends within the longest deadline.
type Leaser struct {
	holder      string
	ttl         time.Duration
	maxDeadline time.Duration
	margin      time.Duration
	newNonce    func() string

	wanted    bool
	busy      bool
	attempt   attempt
	unsettled []attempt

	// seen says that version, current and seenAt hold what the store showed.
	seen    bool
	version int64
	current lease.Lease
	seenAt  time.Time
	// lowest is the lowest version that a reading must have to be newer than what was found outdated.
	lowest int64

	// own says that current was written by this Leaser, in a write sent at termStart.
	own       bool
	termStart time.Time
	// settled is false from any error until the store shows again what it holds.
	settled bool
	// usedUntil is the latest time at which work may have been sent under the lease.
	usedUntil time.Time
	notBefore time.Time
	lookedAt  time.Time
}

// attempt is a write that was sent.
type attempt struct {
	value     lease.Lease
	ifVersion int64
	sentAt    time.Time
}

// Option changes a setting of a Leaser.
type Option func(*Leaser)

// WithMargin sets how long before the end of its term the holder stops.
func WithMargin(margin time.Duration) Option {
	return func(l *Leaser) { l.margin = margin }
}

// WithNonces sets the source of nonces, which must never repeat on any host.
func WithNonces(newNonce func() string) Option {
	return func(l *Leaser) { l.newNonce = newNonce }
}

// New returns a leaser that does not want the lease yet; work under the lease must end within maxDeadline of its sending.
func New(holder string, ttl, maxDeadline time.Duration, options ...Option) *Leaser {
	l := &Leaser{
		holder:      holder,
		ttl:         ttl,
		maxDeadline: maxDeadline,
		margin:      ttl / marginShare,
		newNonce:    uuid.NewString,
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Want says whether the lease is wanted; an unwanted one is given up.
func (l *Leaser) Want(wanted bool) {
	l.wanted = wanted
}

// Holds returns the epoch and true while the lease may be used; it is called right before each use.
func (l *Leaser) Holds(now time.Time) (epoch int64, ok bool) {
	if !l.wanted || !l.own || !l.settled || l.lapsed(now) {
		return 0, false
	}
	l.Use(now)
	return l.current.Epoch, true
}

// Use notes that work under the lease may be sent until the given time, which a successor has to wait out.
func (l *Leaser) Use(until time.Time) {
	if until.After(l.usedUntil) {
		l.usedUntil = until
	}
}

// Until returns the time from which the lease must not be used, which is past while it may not be used at all.
func (l *Leaser) Until(now time.Time) time.Time {
	if !l.wanted || !l.own || !l.settled || l.lapsed(now) {
		return time.Time{}
	}
	return l.termStart.Add(l.ttl - l.margin)
}

// Seen returns the lease as the store last showed it, whoever holds it.
func (l *Leaser) Seen() lease.Lease {
	return l.current
}

// Next returns what to do now.
func (l *Leaser) Next(now time.Time) leasestep.Step {
	switch {
	case l.busy:
		return wait(l.ttl)
	case !l.wanted:
		return l.nextUnwanted(now)
	case now.Before(l.notBefore):
		return wait(l.notBefore.Sub(now))
	case !l.settled:
		return l.read()
	case l.own:
		return l.nextOwned(now)
	default:
		return l.nextForeign(now)
	}
}

// OnRead takes the answer to a read; now is when it arrived.
func (l *Leaser) OnRead(now time.Time, found object.Object, err error) {
	l.busy = false
	l.lookedAt = now
	if errors.Is(err, storer.ErrNotFound) {
		found, err = object.Object{}, nil
	}
	if err != nil || found.Version < l.lowest {
		l.fail(now)
		return
	}
	value, err := parse(found)
	if err != nil {
		l.fail(now)
		return
	}
	if !l.seen || found.Version > l.version {
		l.adopt(now, found.Version, value)
	}
	l.settled = true
}

// OnWrite takes the answer to a write; sentAt is a moment before it was sent, now is when the answer arrived.
func (l *Leaser) OnWrite(now, sentAt time.Time, version int64, err error) {
	l.busy = false
	sent := l.attempt
	sent.sentAt = sentAt
	switch {
	case err == nil:
		l.unsettled = append(l.unsettled, sent)
		l.adopt(now, version, sent.value)
		l.settled = true
	case errors.Is(err, storer.ErrConflict):
		l.lowest = max(l.lowest, sent.ifVersion+1)
		l.settled = false
	case errors.Is(err, storer.ErrUnavailable):
		l.fail(now)
	default:
		l.remember(sent)
		l.settled = false
	}
}

func (l *Leaser) nextUnwanted(now time.Time) leasestep.Step {
	if !l.own {
		return wait(l.ttl)
	}
	// The old holder is not found again by its nonce, whatever becomes of this write.
	l.own = false
	l.settled = false
	l.unsettled = nil
	return l.write(l.current.Released(l.usedUntil.Add(l.maxDeadline).Sub(now)))
}

func (l *Leaser) nextOwned(now time.Time) leasestep.Step {
	renewAt := l.termStart.Add(l.ttl / renewShare)
	if now.Before(renewAt) {
		return wait(renewAt.Sub(now))
	}
	if l.lapsed(now) {
		return l.write(l.hold(l.current.Epoch + 1))
	}
	return l.write(l.hold(l.current.Epoch))
}

func (l *Leaser) nextForeign(now time.Time) leasestep.Step {
	freeAt := l.seenAt.Add(l.current.Quarantine())
	if l.version == 0 || !now.Before(freeAt) {
		return l.write(l.hold(l.current.Epoch + 1))
	}
	lookAt := l.lookedAt.Add(min(l.ttl/renewShare, lookEvery))
	if !now.Before(lookAt) {
		return l.read()
	}
	return wait(min(lookAt.Sub(now), freeAt.Sub(now)))
}

func (l *Leaser) lapsed(now time.Time) bool {
	return !now.Before(l.termStart.Add(l.ttl - l.margin))
}

func (l *Leaser) hold(epoch int64) lease.Lease {
	return lease.Lease{
		Holder:        l.holder,
		Epoch:         epoch,
		TTLMS:         l.ttl.Milliseconds(),
		MaxDeadlineMS: l.maxDeadline.Milliseconds(),
	}
}

func (l *Leaser) read() leasestep.Step {
	l.busy = true
	return leasestep.Step{Kind: leasestep.Read}
}

func (l *Leaser) write(value lease.Lease) leasestep.Step {
	l.busy = true
	value.Nonce = l.newNonce()
	l.attempt = attempt{value: value, ifVersion: l.version}
	return leasestep.Step{Kind: leasestep.Write, Value: value.Encode(), IfVersion: l.version}
}

// fail leaves ownership unproved and lets some time pass.
func (l *Leaser) fail(now time.Time) {
	l.settled = false
	l.notBefore = now.Add(l.ttl / retryShare)
}

// remember keeps a write of unknown outcome, so that a reading which shows its nonce settles it.
func (l *Leaser) remember(sent attempt) {
	l.unsettled = append(l.unsettled, sent)
	if len(l.unsettled) > maxUnsettled {
		l.unsettled = l.unsettled[1:]
	}
}

// adopt takes over a version that was not seen before.
func (l *Leaser) adopt(now time.Time, version int64, value lease.Lease) {
	l.seen = true
	l.version = version
	l.lowest = max(l.lowest, version)
	l.current = value
	l.seenAt = now
	l.own = false
	possible := l.unsettled[:0]
	for _, sent := range l.unsettled {
		if sent.value.Nonce == value.Nonce && value.Holder == l.holder {
			l.own = true
			l.termStart = sent.sentAt
		}
		// A write on an older version can no longer apply.
		if sent.ifVersion >= version {
			possible = append(possible, sent)
		}
	}
	l.unsettled = possible
}

func parse(found object.Object) (lease.Lease, error) {
	if found.Version == 0 {
		return lease.Lease{}, nil
	}
	return lease.Parse(found.Value)
}

func wait(d time.Duration) leasestep.Step {
	return leasestep.Step{Kind: leasestep.None, Wait: d}
}
