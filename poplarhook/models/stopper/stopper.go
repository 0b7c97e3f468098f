package stopper

import "time"

// Stopper is the plan of a stop of this host.
type Stopper struct {
	lastOffer time.Time
	end       time.Time
}

// New returns the plan of a stop that cuts off the requests that still run at the end. After lastOffer, a request is
// offered to an endpoint only if it is sure to have ended by then.
func New(lastOffer, end time.Time) Stopper {
	return Stopper{lastOffer: lastOffer, end: end}
}

// LastOffer returns the time after which not every request may be offered any more.
func (s Stopper) LastOffer() time.Time {
	return s.lastOffer
}

// MayOffer reports whether a request with the deadline may be offered to an endpoint now.
//
// It serves requests that reach an endpoint late in a stop: those that were sent behind others on their connection, whose
// body arrives slowly, or that waited or are repeated. They would be cut off without an answer although they run, while
// another host can serve them if they are refused as not run.
func (s Stopper) MayOffer(now, deadline time.Time) bool {
	return now.Before(s.lastOffer) || !deadline.After(s.end)
}
