package budgeter

import "time"

const (
	defaultShare   = 0.1
	defaultMinimum = 3
	defaultWindow  = 10 * time.Second
	// parts is the number of steps in which the window moves.
	parts = 10
)

// Option changes a setting of a Budgeter.
type Option func(*Budgeter)

// WithShare sets the share of recent work that may be spent.
func WithShare(share float64) Option {
	return func(b *Budgeter) { b.share = share }
}

// WithMinimum sets how much may be spent in a window however little work there is.
func WithMinimum(minimum int) Option {
	return func(b *Budgeter) { b.minimum = minimum }
}

// WithWindow sets how long work counts as recent.
func WithWindow(d time.Duration) Option {
	return func(b *Budgeter) { b.width = d / parts }
}

// Budgeter allows further attempts as a share of recent work.
//
// A Budgeter is not safe for concurrent use.
type Budgeter struct {
	share   float64
	minimum int
	width   time.Duration

	ring     [parts]part
	current  int64
	recorded int
	spent    int
}

// part counts what happened in one step of the window.
type part struct {
	recorded int
	spent    int
}

// New returns a Budgeter that has seen no work.
func New(options ...Option) *Budgeter {
	b := &Budgeter{share: defaultShare, minimum: defaultMinimum}
	WithWindow(defaultWindow)(b)
	for _, option := range options {
		option(b)
	}
	b.width = max(b.width, 1)
	return b
}

// Record counts one first attempt.
func (b *Budgeter) Record(now time.Time) {
	b.at(now).recorded++
	b.recorded++
}

// Spend reports whether one further attempt may be made, and counts it if so.
func (b *Budgeter) Spend(now time.Time) bool {
	p := b.at(now)
	if float64(b.spent+1) > float64(b.minimum)+b.share*float64(b.recorded) {
		return false
	}
	p.spent++
	b.spent++
	return true
}

// at moves the window to the present and returns its last part.
func (b *Budgeter) at(now time.Time) *part {
	index := now.UnixNano() / int64(b.width)
	if index > b.current+parts {
		b.current = index - parts
	}
	for b.current < index {
		b.current++
		p := &b.ring[b.current%parts]
		b.recorded -= p.recorded
		b.spent -= p.spent
		*p = part{}
	}
	return &b.ring[b.current%parts]
}
