package awaiter

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/status"
	"poplarhook.example/poplarctl/modules/requester"
)

// ErrNotEverywhere means that some live entry host did not run the revision in time.
var ErrNotEverywhere = errors.New("revision does not run everywhere")

const (
	defaultInterval = 200 * time.Millisecond
	askTimeout      = 2 * time.Second
	noAnswer        = "no entry host answers"
)

// Sender asks one entry host.
type Sender interface {
	Admins() []string
	Send(ctx context.Context, admin string, request requester.Request, into any) (int64, error)
}

// Awaiter watches the status of the entry hosts.
type Awaiter struct {
	sender   Sender
	interval time.Duration
}

// Option changes how an Awaiter is built.
type Option func(*Awaiter)

// WithInterval sets the time between two looks.
func WithInterval(interval time.Duration) Option {
	return func(a *Awaiter) { a.interval = interval }
}

// New returns an awaiter.
func New(sender Sender, options ...Option) *Awaiter {
	a := &Awaiter{sender: sender, interval: defaultInterval}
	for _, option := range options {
		option(a)
	}
	return a
}

// Wait returns when each entry host that answers runs the revision and knows
// no live one that does not, or ErrNotEverywhere with the reason when the
// context ends first.
func (a *Awaiter) Wait(ctx context.Context, revision int64) error {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	reason := noAnswer
	for ctx.Err() == nil {
		seen := a.look(ctx, revision)
		if seen == "" {
			return nil
		}
		// The end of the context may cut a look short, which then says nothing new.
		if seen != noAnswer {
			reason = seen
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return errors.Wrapf(ErrNotEverywhere, "revision %d: %s", revision, reason)
}

// look asks every entry host and returns what is missing, if anything.
func (a *Awaiter) look(ctx context.Context, revision int64) string {
	answered := 0
	var missing []string
	for _, admin := range a.sender.Admins() {
		s, err := a.ask(ctx, admin)
		if err != nil {
			continue
		}
		answered++
		if reason := why(s, revision); reason != "" {
			missing = append(missing, reason)
		}
	}
	if answered == 0 {
		return noAnswer
	}
	return strings.Join(missing, "; ")
}

func (a *Awaiter) ask(ctx context.Context, admin string) (status.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var s status.Status
	_, err := a.sender.Send(ctx, admin, requester.Request{Method: http.MethodGet, Path: "/v1/status"}, &s)
	return s, err
}

// why returns what the entry host of a status lacks, empty if nothing.
func why(s status.Status, revision int64) string {
	if s.Revision < revision {
		return fmt.Sprintf("%s itself runs %d", s.HostID, s.Revision)
	}
	if s.Runs(revision) {
		return ""
	}
	var behind []string
	for _, host := range s.Hosts {
		if host.State == status.HostLive && host.Revision < revision {
			behind = append(behind, fmt.Sprintf("%s runs %d", host.ID, host.Revision))
		}
	}
	if len(behind) == 0 {
		behind = []string{"no live entry host"}
	}
	return s.HostID + " knows: " + strings.Join(behind, ", ")
}
