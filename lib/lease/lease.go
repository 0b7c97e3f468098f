package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformed means that a stored value is not a lease.
var ErrMalformed = errors.New("malformed lease")

// Lease says who may send cold work; its term counts from a moment that only the holder knows.
type Lease struct {
	Holder string `json:"holder"`
	// Epoch grows with each change of holder.
	Epoch int64 `json:"epoch"`
	// Nonce is unique to one write, so that its writer can recognise it.
	Nonce         string `json:"nonce"`
	TTLMS         int64  `json:"ttl_ms"`
	MaxDeadlineMS int64  `json:"max_deadline_ms"`
}

// Parse decodes a stored lease, or returns ErrMalformed.
func Parse(value []byte) (Lease, error) {
	var parsed Lease
	if err := json.Unmarshal(value, &parsed); err != nil {
		return Lease{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if parsed.TTLMS < 0 || parsed.MaxDeadlineMS < 0 {
		return Lease{}, errors.Wrapf(ErrMalformed, "ttl_ms %d, max_deadline_ms %d: allowed are 0 and more", parsed.TTLMS, parsed.MaxDeadlineMS)
	}
	return parsed, nil
}

// Encode returns the lease as it is stored.
func (l Lease) Encode() []byte {
	value, err := json.Marshal(l)
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(err)
	}
	return value
}

// Quarantine is how long the lease must be seen unchanged before another holder may take it.
func (l Lease) Quarantine() time.Duration {
	return time.Duration(l.TTLMS+l.MaxDeadlineMS) * time.Millisecond
}

// Released returns a copy that nobody holds any more, whose last work ends within the given time.
func (l Lease) Released(within time.Duration) Lease {
	l.Holder = ""
	l.TTLMS = 0
	roundedUp := max(within, 0) + time.Millisecond - time.Nanosecond
	l.MaxDeadlineMS = min(roundedUp.Milliseconds(), l.MaxDeadlineMS)
	return l
}
