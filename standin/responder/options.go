package responder

import "time"

// Option changes a setting of a Responder.
type Option func(*Responder)

// WithSeed sets the seed of the service times and slow spells.
func WithSeed(seed uint64) Option {
	return func(r *Responder) { r.seed = seed }
}

// WithMeanService sets the mean service time outside slow spells.
func WithMeanService(mean time.Duration) Option {
	return func(r *Responder) { r.meanService = mean }
}

// WithSpells multiplies service times by factor in slow spells of about the given length, about once in each interval.
func WithSpells(factor float64, length, interval time.Duration) Option {
	return func(r *Responder) { r.spellFactor, r.spellLength, r.spellInterval = factor, length, interval }
}

// WithColdStart makes the endpoint cold from its start until it has completed the given number of requests. A cold
// endpoint crashes when more than limit requests are in flight.
func WithColdStart(requests, limit int) Option {
	return func(r *Responder) { r.coldRequests, r.coldLimit = requests, limit }
}

// WithColdFactor multiplies the service times of requests that start on a cold endpoint by factor.
func WithColdFactor(factor float64) Option {
	return func(r *Responder) { r.coldFactor = factor }
}

// WithColdGrace sets how long after becoming cold the endpoint sheds requests over the cold limit instead of crashing.
func WithColdGrace(grace time.Duration) Option {
	return func(r *Responder) { r.coldGrace = grace }
}

// WithWarmStart makes the endpoint warm at its first start only.
func WithWarmStart() Option {
	return func(r *Responder) { r.startsWarm = true }
}

// WithQueue sets how many requests may wait for a slot.
func WithQueue(limit int) Option {
	return func(r *Responder) { r.queueLimit = limit }
}

// WithConnectDelay sets the delay until a new connection is served.
func WithConnectDelay(delay time.Duration) Option {
	return func(r *Responder) { r.connectDelay = delay }
}

// WithRecording sets whether every received byte is kept.
func WithRecording(recording bool) Option {
	return func(r *Responder) { r.recording = recording }
}

// WithClock sets the function that returns the current time.
func WithClock(clock func() time.Time) Option {
	return func(r *Responder) { r.clock = clock }
}

// Settings are the properties of the endpoint that a test can change while the endpoint runs.
type Settings struct {
	// SlowFactor multiplies the service times of requests that start from now on.
	SlowFactor float64 `json:"slow_factor"`
	// Cold makes the endpoint cold, without a restart, or warm.
	Cold bool `json:"cold"`
	// Leaving makes every answer and the health check state that the endpoint is leaving.
	Leaving bool `json:"leaving"`
	// Silent makes the endpoint run requests but discard their answers.
	Silent bool `json:"silent"`
	// Truncate makes the endpoint close the connection after half of the body of each answer.
	Truncate bool `json:"truncate"`
	// WrongLength makes each answer announce more bytes than are sent, and leaves the connection open.
	WrongLength bool `json:"wrong_length"`
	// Surplus makes the endpoint send a second, unsolicited answer after each answer.
	Surplus bool `json:"surplus"`
	// Abrupt makes the endpoint run each request and then reset the connection before it sends any byte of the answer.
	Abrupt bool `json:"abrupt"`
	// Shed makes the endpoint refuse new requests and state that they were not run.
	Shed bool `json:"shed"`
	// ReportLagMS is the age of the load reports in milliseconds.
	ReportLagMS int `json:"report_lag_ms"`
	// ReportLies makes the load reports falsely state that the endpoint is idle and warm.
	ReportLies bool `json:"report_lies"`
	// Restart ends all requests and connections and starts a new incarnation; it acts once.
	Restart bool `json:"restart"`
	// ForgetConnections makes the connections that are open now silent from then on; it acts once.
	ForgetConnections bool `json:"forget_connections"`
}
