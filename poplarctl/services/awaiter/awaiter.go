package awaiter

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/status"
)

// ErrNotEverywhere means that some live entry host did not run the revision in time.
var ErrNotEverywhere = errors.New("revision does not run everywhere")

const defaultInterval = 200 * time.Millisecond

// Reader reads the status from an entry host.
type Reader interface {
	Read(ctx context.Context, path string, into any) (int64, error)
}

// Awaiter watches the status of the entry hosts.
type Awaiter struct {
	reader   Reader
	interval time.Duration
}

// Option changes how an Awaiter is built.
type Option func(*Awaiter)

// WithInterval sets the time between two looks.
func WithInterval(interval time.Duration) Option {
	return func(a *Awaiter) { a.interval = interval }
}

// New returns an awaiter.
func New(reader Reader, options ...Option) *Awaiter {
	a := &Awaiter{reader: reader, interval: defaultInterval}
	for _, option := range options {
		option(a)
	}
	return a
}

// Wait returns the status in which all live entry hosts run the revision, or
// ErrNotEverywhere naming those that do not when the context ends.
func (a *Awaiter) Wait(ctx context.Context, revision int64) (status.Status, error) {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	reason := "no status was read"
	for {
		var s status.Status
		_, err := a.reader.Read(ctx, "/v1/status", &s)
		if err == nil && s.Runs(revision) {
			return s, nil
		}
		if ctx.Err() == nil || err == nil {
			reason = why(s, revision, err)
		}
		select {
		case <-ctx.Done():
			return s, errors.Wrapf(ErrNotEverywhere, "revision %d: %s", revision, reason)
		case <-ticker.C:
		}
	}
}

func why(s status.Status, revision int64, err error) string {
	if err != nil {
		return err.Error()
	}
	var behind []string
	for _, host := range s.Hosts {
		if host.State == status.HostLive && host.Revision < revision {
			behind = append(behind, fmt.Sprintf("%s runs %d", host.ID, host.Revision))
		}
	}
	if len(behind) == 0 {
		return "no entry host is live"
	}
	return strings.Join(behind, ", ")
}
