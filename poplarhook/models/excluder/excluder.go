package excluder

import "time"

const (
	// maxQuiet bounds the quiet time that an endpoint may ask for. A longer one is taken for a mistake and shortened, since
	// only a restart of the endpoint would end it.
	maxQuiet = 10 * time.Minute
	// retention is how long the statements of an endpoint are kept after it was last listed. Its entry may vanish and come
	// back, as after an outage of the store, and the endpoint is still leaving then.
	retention = 10 * time.Minute
)

// Excluder keeps which incarnations of endpoints are leaving and which have asked for a quiet time. It is not safe for
// concurrent use.
type Excluder struct {
	statements map[key]statement
}

// key identifies an incarnation of an endpoint. A restart ends what an earlier incarnation has stated.
type key struct {
	endpoint    string
	incarnation string
}

// statement is what an incarnation has stated. It takes no requests while it is leaving or before quietUntil.
type statement struct {
	leaving    bool
	quietUntil time.Time
	// listedAt is when the incarnation was last listed, or made its first statement.
	listedAt time.Time
}

// New returns an Excluder without statements.
func New() *Excluder {
	return &Excluder{statements: make(map[key]statement)}
}

// RecordLeaving records that the incarnation is leaving, and reports whether that was not known.
func (x *Excluder) RecordLeaving(now time.Time, endpoint, incarnation string) (changed bool) {
	k, s := x.get(now, endpoint, incarnation)
	changed = !s.leaving
	s.leaving = true
	x.statements[k] = s
	return changed
}

// RecordQuiet records that the incarnation takes no requests for the given time, and reports whether it took some until
// now. A quiet time does not shorten an earlier one.
func (x *Excluder) RecordQuiet(now time.Time, endpoint, incarnation string, quiet time.Duration) (changed bool) {
	if quiet <= 0 {
		return false
	}
	k, s := x.get(now, endpoint, incarnation)
	changed = !now.Before(s.quietUntil)
	if until := now.Add(min(quiet, maxQuiet)); until.After(s.quietUntil) {
		s.quietUntil = until
	}
	x.statements[k] = s
	return changed
}

func (x *Excluder) get(now time.Time, endpoint, incarnation string) (key, statement) {
	k := key{endpoint: endpoint, incarnation: incarnation}
	s, known := x.statements[k]
	if !known {
		s.listedAt = now
	}
	return k, s
}

// IsExcluded reports whether the incarnation is leaving or quiet.
func (x *Excluder) IsExcluded(now time.Time, endpoint, incarnation string) bool {
	s := x.statements[key{endpoint: endpoint, incarnation: incarnation}]
	return s.leaving || now.Before(s.quietUntil)
}

// IsLeaving reports whether the incarnation is leaving.
func (x *Excluder) IsLeaving(endpoint, incarnation string) bool {
	return x.statements[key{endpoint: endpoint, incarnation: incarnation}].leaving
}

// QuietUntil returns the end of the quiet time of the incarnation, zero if it has asked for none.
func (x *Excluder) QuietUntil(endpoint, incarnation string) time.Time {
	return x.statements[key{endpoint: endpoint, incarnation: incarnation}].quietUntil
}

// Retain drops the statements of incarnations that have not been listed for some time. The listed incarnation of an
// endpoint is returned by incarnationOf, with false for an endpoint that is not listed.
func (x *Excluder) Retain(now time.Time, incarnationOf func(endpoint string) (incarnation string, listed bool)) {
	for k, s := range x.statements {
		incarnation, listed := incarnationOf(k.endpoint)
		switch {
		case listed && incarnation == k.incarnation:
			s.listedAt = now
			x.statements[k] = s
		case now.Sub(s.listedAt) > retention:
			delete(x.statements, k)
		}
	}
}
