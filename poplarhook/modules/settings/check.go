package settings

import (
	"fmt"
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	minControlBudget = 512
	minAnswerHead    = 1 << 10
	maxAnswerHead    = 1 << 20
	maxControlBudget = 100 << 20
	maxColdShards    = 1024
)

// Check returns an error that names the first setting with an invalid value.
func (s Settings) Check() error {
	checks := []func() error{
		s.checkNames,
		s.checkAddresses,
		s.checkChoices,
		s.checkAmounts,
		s.checkDurations,
		s.checkPeerTLS,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func newInvalidError(name string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "%s is %q: allowed is %s", name, fmt.Sprint(value), allowed)
}

func (s Settings) checkNames() error {
	names := []struct{ flag, value string }{
		{"host-id", s.HostID},
		{"region", s.Region},
		{"availability-zone", s.AvailabilityZone},
	}
	for _, n := range names {
		if n.value == "" {
			return newInvalidError(n.flag, n.value, "a name that is not empty")
		}
	}
	return nil
}

func (s Settings) checkAddresses() error {
	addresses := []struct{ flag, value string }{
		{"listen", s.Listen},
		{"peer-listen", s.PeerListen},
		{"admin-listen", s.AdminListen},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return newInvalidError(a.flag, a.value, "host:port")
		}
	}
	urls := []struct{ flag, value string }{
		{"store-url", s.StoreURL},
		{"host-list-url", s.HostListURL},
	}
	for _, u := range urls {
		parsed, err := url.Parse(u.value)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return newInvalidError(u.flag, u.value, "an http or https URL")
		}
	}
	return nil
}

func (s Settings) checkChoices() error {
	if !slices.Contains([]string{PolicyOwner, PolicyTwoChoices, PolicyRandom}, s.Policy) {
		return newInvalidError("policy", s.Policy, "owner, two_choices or random")
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.LogLevel) {
		return newInvalidError("log-level", s.LogLevel, "debug, info, warn or error")
	}
	return nil
}

func (s Settings) checkAmounts() error {
	if s.ControlBudget < minControlBudget || s.ControlBudget > maxControlBudget {
		return newInvalidError("control-budget", s.ControlBudget, fmt.Sprintf("%d to %d bytes/s", minControlBudget, maxControlBudget))
	}
	if s.HedgeShare < 0 || s.HedgeShare > 1 {
		return newInvalidError("hedge-share", s.HedgeShare, "0 to 1")
	}
	if s.RetryShare < 0 || s.RetryShare > 1 {
		return newInvalidError("retry-share", s.RetryShare, "0 to 1")
	}
	if s.MaxBody < 0 {
		return newInvalidError("max-body", s.MaxBody, "0 bytes or more")
	}
	if s.MaxAnswerHead < minAnswerHead || s.MaxAnswerHead > maxAnswerHead {
		return newInvalidError("max-answer-head", s.MaxAnswerHead, fmt.Sprintf("%d to %d bytes", minAnswerHead, maxAnswerHead))
	}
	if s.MaxHeader < 1024 {
		return newInvalidError("max-header", s.MaxHeader, "1024 bytes or more")
	}
	if s.ColdShards < 1 || s.ColdShards > maxColdShards {
		return newInvalidError("cold-shards", s.ColdShards, fmt.Sprintf("1 to %d", maxColdShards))
	}
	if s.MaxRequests < 1 {
		return newInvalidError("max-requests", s.MaxRequests, "1 or more")
	}
	return nil
}

func (s Settings) checkDurations() error {
	durations := []struct {
		flag  string
		value time.Duration
	}{
		{"read-timeout", s.ReadTimeout},
		{"idle-timeout", s.IdleTimeout},
		{"reuse-age", s.ReuseAge},
		{"drain-limit", s.DrainLimit},
		{"owner-timeout", s.OwnerTimeout},
		{"lease-ttl", s.LeaseTTL},
		{"cold-deadline", s.ColdDeadline},
		{"store-timeout", s.StoreTimeout},
		{"watch-wait", s.WatchWait},
		{"probe-interval", s.ProbeInterval},
		{"heartbeat-interval", s.HeartbeatInterval},
		{"heartbeat-timeout", s.HeartbeatTimeout},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return newInvalidError(d.flag, d.value, "a duration above zero, such as 250ms")
		}
	}
	if s.HeartbeatTimeout < 2*s.HeartbeatInterval {
		return newInvalidError("heartbeat-timeout", s.HeartbeatTimeout, "at least twice heartbeat-interval")
	}
	if s.ProofAge < 0 || s.ProofAge > s.ReuseAge {
		return newInvalidError("proof-age", s.ProofAge, "0 to reuse-age")
	}
	if s.HoldMax < 0 {
		return newInvalidError("hold-max", s.HoldMax, "0 or more")
	}
	if s.DrainNotice < 0 {
		return newInvalidError("drain-notice", s.DrainNotice, "0 or more")
	}
	return nil
}

func (s Settings) checkPeerTLS() error {
	given := 0
	for _, value := range []string{s.PeerCA, s.PeerCertificate, s.PeerKey} {
		if value != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return errors.Wrap(ErrInvalid, "peer-ca, peer-certificate and peer-key: allowed is all three or none")
	}
	return nil
}
