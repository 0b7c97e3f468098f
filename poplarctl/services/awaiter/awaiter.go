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

// ErrNotRolledOut means that at least one live entry host did not run the revision in time.
var ErrNotRolledOut = errors.New("revision is not running on all live entry hosts")

const (
	defaultInterval = 200 * time.Millisecond
	statusTimeout   = 2 * time.Second
	noHostAnswers   = "no entry host answers"
)

// Sender sends requests to the entry hosts at the base URLs that Admins returns.
type Sender interface {
	Admins() []string
	Send(ctx context.Context, admin string, request requester.Request, into any) (int64, error)
}

// Awaiter polls the status of the entry hosts.
type Awaiter struct {
	sender   Sender
	interval time.Duration
}

// Option configures an Awaiter.
type Option func(*Awaiter)

// WithInterval sets the polling interval.
func WithInterval(interval time.Duration) Option {
	return func(a *Awaiter) { a.interval = interval }
}

// New returns an awaiter that polls the entry hosts through the sender.
func New(sender Sender, options ...Option) *Awaiter {
	a := &Awaiter{sender: sender, interval: defaultInterval}
	for _, option := range options {
		option(a)
	}
	return a
}

// Wait returns nil once every entry host that answers runs the revision and reports that all live entry hosts run it.
// It returns ErrNotRolledOut with the reason if the context ends first.
func (a *Awaiter) Wait(ctx context.Context, revision int64) error {
	ticker := time.NewTicker(a.interval)
	defer ticker.Stop()
	reason := noHostAnswers
	for ctx.Err() == nil {
		pending := a.checkHosts(ctx, revision)
		if pending == "" {
			return nil
		}
		// The end of the context may abort the requests, so that no host answers; the previous reason is kept then.
		if pending != noHostAnswers {
			reason = pending
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return errors.Wrapf(ErrNotRolledOut, "revision %d: %s", revision, reason)
}

// checkHosts fetches the status of every entry host and returns which hosts do not run the revision yet, or an empty
// string if all do.
func (a *Awaiter) checkHosts(ctx context.Context, revision int64) string {
	answered := 0
	var pending []string
	for _, admin := range a.sender.Admins() {
		s, err := a.fetchStatus(ctx, admin)
		if err != nil {
			continue
		}
		answered++
		if reason := pendingReason(s, revision); reason != "" {
			pending = append(pending, reason)
		}
	}
	if answered == 0 {
		return noHostAnswers
	}
	return strings.Join(pending, "; ")
}

func (a *Awaiter) fetchStatus(ctx context.Context, admin string) (status.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s status.Status
	_, err := a.sender.Send(ctx, admin, requester.Request{Method: http.MethodGet, Path: "/v1/status"}, &s)
	return s, err
}

// pendingReason returns which hosts do not run the revision according to the status of one entry host, or an empty
// string if all live ones do.
func pendingReason(s status.Status, revision int64) string {
	if s.Revision < revision {
		return fmt.Sprintf("%s runs revision %d", s.HostID, s.Revision)
	}
	if s.Runs(revision) {
		return ""
	}
	var behind []string
	for _, host := range s.Hosts {
		if host.State == status.HostLive && host.Revision < revision {
			behind = append(behind, fmt.Sprintf("%s runs revision %d", host.ID, host.Revision))
		}
	}
	if len(behind) == 0 {
		behind = []string{"no live entry host"}
	}
	return s.HostID + " reports: " + strings.Join(behind, ", ")
}
