package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// ErrMalformed is returned for a stored value that is not a valid lease.
var ErrMalformed = errors.New("malformed lease")

// Lease names the host that may send cold work. Only the holder knows when its term started.
type Lease struct {
	Holder string `json:"holder"`
	// Epoch increases with each change of holder.
	Epoch int64 `json:"epoch"`
	// Nonce is unique to one write, so that a host can recognise its own write.
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
		return Lease{}, errors.Wrapf(ErrMalformed, "ttl_ms %d, max_deadline_ms %d: must not be negative",
			parsed.TTLMS, parsed.MaxDeadlineMS)
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

// Quarantine returns how long another host must see the lease unchanged before it may acquire it.
func (l Lease) Quarantine() time.Duration {
	return time.Duration(l.TTLMS+l.MaxDeadlineMS) * time.Millisecond
}

// Released returns a copy without a holder. Work that was sent under the lease ends within the given time.
func (l Lease) Released(within time.Duration) Lease {
	l.Holder = ""
	l.TTLMS = 0
	roundedUp := max(within, 0) + time.Millisecond - time.Nanosecond
	l.MaxDeadlineMS = min(roundedUp.Milliseconds(), l.MaxDeadlineMS)
	return l
}
