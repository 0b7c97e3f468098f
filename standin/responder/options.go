package responder

import "time"

// Option changes a setting of a Responder.
type Option func(*Responder)

// WithSeed sets the seed of the service times and spells.
func WithSeed(seed uint64) Option {
	return func(r *Responder) { r.seed = seed }
}

// WithMeanService sets the mean service time, outside of spells.
func WithMeanService(mean time.Duration) Option {
	return func(r *Responder) { r.meanService = mean }
}

// WithSpells makes work take factor times as long in spells of about length, about once in each interval.
func WithSpells(factor float64, length, interval time.Duration) Option {
	return func(r *Responder) { r.spellFactor, r.spellLength, r.spellInterval = factor, length, interval }
}

// WithColdStart makes the endpoint cold from its start until it answered requests, and fall over over limit in flight.
func WithColdStart(requests, limit int) Option {
	return func(r *Responder) { r.coldRequests, r.coldLimit = requests, limit }
}

// WithColdFactor makes work that starts cold take factor times as long.
func WithColdFactor(factor float64) Option {
	return func(r *Responder) { r.coldFactor = factor }
}

// WithColdGrace makes the endpoint shed what is over the limit, in place of falling over, for a time after turning cold.
func WithColdGrace(grace time.Duration) Option {
	return func(r *Responder) { r.coldGrace = grace }
}

// WithWarmStart makes the endpoint warm at its first start.
func WithWarmStart() Option {
	return func(r *Responder) { r.startsWarm = true }
}

// WithQueue sets how many requests may wait for a slot.
func WithQueue(limit int) Option {
	return func(r *Responder) { r.queueLimit = limit }
}

// WithConnectDelay sets how long a new connection takes until it is served.
func WithConnectDelay(delay time.Duration) Option {
	return func(r *Responder) { r.connectDelay = delay }
}

// WithRecording keeps every byte received.
func WithRecording(recording bool) Option {
	return func(r *Responder) { r.recording = recording }
}

// WithClock sets the source of the present time.
func WithClock(clock func() time.Time) Option {
	return func(r *Responder) { r.clock = clock }
}

// Settings are what a test can change while the endpoint runs.
type Settings struct {
	// SlowFactor makes work that starts from now on take this many times as long.
	SlowFactor float64 `json:"slow_factor"`
	// Cold turns the endpoint cold without a restart, or warm.
	Cold bool `json:"cold"`
	// Leaving makes every answer and the health say that the endpoint leaves.
	Leaving bool `json:"leaving"`
	// Silent runs requests but lets the answers vanish.
	Silent bool `json:"silent"`
	// Truncate closes the connection after half of each answer's body.
	Truncate bool `json:"truncate"`
	// WrongLength announces more bytes than it sends, and leaves the connection open.
	WrongLength bool `json:"wrong_length"`
	// Surplus sends a second answer that nobody asked for after each answer.
	Surplus bool `json:"surplus"`
	// Abrupt resets the connection after the work, before any byte of the answer.
	Abrupt bool `json:"abrupt"`
	// Shed refuses new requests as not run.
	Shed bool `json:"shed"`
	// ReportLagMS is how old the load reports are.
	ReportLagMS int `json:"report_lag_ms"`
	// ReportLies makes the load reports claim an idle, warm endpoint.
	ReportLies bool `json:"report_lies"`
	// Restart ends all work and connections once and starts a new incarnation.
	Restart bool `json:"restart"`
	// ForgetConnections lets the connections open now fall silent for good, once.
	ForgetConnections bool `json:"forget_connections"`
}
