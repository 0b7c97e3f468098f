package budgeter

import "time"

const (
	defaultShare   = 0.1
	defaultMinimum = 3
	defaultWindow  = 10 * time.Second
	// partCount is the number of equal parts of the window, which moves by one part at a time.
	partCount = 10
)

// Option changes a setting of a Budgeter.
type Option func(*Budgeter)

// WithShare sets the allowed number of further attempts as a share of recent first attempts.
func WithShare(share float64) Option {
	return func(b *Budgeter) { b.share = share }
}

// WithMinimum sets how many further attempts are allowed per window in addition to the share of first attempts.
func WithMinimum(minimum int) Option {
	return func(b *Budgeter) { b.minimum = minimum }
}

// WithWindow sets how long an attempt counts as recent.
func WithWindow(d time.Duration) Option {
	return func(b *Budgeter) { b.partWidth = d / partCount }
}

// Budgeter limits further attempts to a share of recent first attempts, plus a minimum.
//
// A Budgeter is not safe for concurrent use.
type Budgeter struct {
	share     float64
	minimum   int
	partWidth time.Duration

	parts           [partCount]windowPart
	currentPart     int64
	firstAttempts   int
	furtherAttempts int
}

// windowPart counts the first and the further attempts in one part of the window.
type windowPart struct {
	firstAttempts   int
	furtherAttempts int
}

// New returns a Budgeter without recorded attempts.
func New(options ...Option) *Budgeter {
	b := &Budgeter{share: defaultShare, minimum: defaultMinimum}
	WithWindow(defaultWindow)(b)
	for _, option := range options {
		option(b)
	}
	b.partWidth = max(b.partWidth, 1)
	return b
}

// Record counts the first attempt of a request.
func (b *Budgeter) Record(now time.Time) {
	b.advanceWindow(now).firstAttempts++
	b.firstAttempts++
}

// Spend reports whether a further attempt is allowed, and counts it as made if so.
func (b *Budgeter) Spend(now time.Time) bool {
	p := b.advanceWindow(now)
	if float64(b.furtherAttempts+1) > float64(b.minimum)+b.share*float64(b.firstAttempts) {
		return false
	}
	p.furtherAttempts++
	b.furtherAttempts++
	return true
}

// advanceWindow moves the window to the given time and returns its newest part.
func (b *Budgeter) advanceWindow(now time.Time) *windowPart {
	index := now.UnixNano() / int64(b.partWidth)
	if index > b.currentPart+partCount {
		b.currentPart = index - partCount
	}
	for b.currentPart < index {
		b.currentPart++
		p := &b.parts[b.currentPart%partCount]
		b.firstAttempts -= p.firstAttempts
		b.furtherAttempts -= p.furtherAttempts
		*p = windowPart{}
	}
	return &b.parts[b.currentPart%partCount]
}
