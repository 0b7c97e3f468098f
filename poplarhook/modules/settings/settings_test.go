package settings_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/modules/settings"
)

func validSettings(c *quicktest.C) settings.Settings {
	s, err := settings.FromEnvironment()
	c.Assert(err, quicktest.IsNil)
	s.HostID, s.Region, s.AvailabilityZone = "entry-1", "oberbayern", "rosenheim"
	s.StoreURL, s.HostListURL = "http://127.0.0.1:7000", "http://127.0.0.1:7000"
	return s
}

func TestCheckNamesTheInvalidSetting(t *testing.T) {
	cases := []struct {
		name   string
		change func(*settings.Settings)
	}{
		{"", func(*settings.Settings) {}},
		{"host-id", func(s *settings.Settings) { s.HostID = "" }},
		{"region", func(s *settings.Settings) { s.Region = "" }},
		{"listen", func(s *settings.Settings) { s.Listen = "nowhere" }},
		{"store-url", func(s *settings.Settings) { s.StoreURL = "ftp://x" }},
		{"policy", func(s *settings.Settings) { s.Policy = "best" }},
		{"log-level", func(s *settings.Settings) { s.LogLevel = "loud" }},
		{"control-budget", func(s *settings.Settings) { s.ControlBudget = 1 }},
		{"hedge-share", func(s *settings.Settings) { s.HedgeShare = 2 }},
		{"max-answer-head", func(s *settings.Settings) { s.MaxAnswerHead = 1023 }},
		{"max-answer-head", func(s *settings.Settings) { s.MaxAnswerHead = 1<<20 + 1 }},
		{"max-requests", func(s *settings.Settings) { s.MaxRequests = 0 }},
		{"lease-ttl", func(s *settings.Settings) { s.LeaseTTL = 0 }},
		{"heartbeat-timeout", func(s *settings.Settings) { s.HeartbeatTimeout = s.HeartbeatInterval }},
		{"proof-age", func(s *settings.Settings) { s.ProofAge = s.ReuseAge + time.Second }},
		{"drain-notice", func(s *settings.Settings) { s.DrainNotice = -1 }},
		{"peer-ca", func(s *settings.Settings) { s.PeerCA = "ca.pem" }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := quicktest.New(t)
			s := validSettings(c)
			tc.change(&s)
			err := s.Check()
			if tc.name == "" {
				c.Assert(err, quicktest.IsNil)
				return
			}
			c.Assert(errors.Is(err, settings.ErrInvalid), quicktest.IsTrue)
			c.Assert(err, quicktest.ErrorMatches, tc.name+"( is|, ).*")
		})
	}
}

func TestFromEnvironmentNamesTheInvalidVariable(t *testing.T) {
	c := quicktest.New(t)
	c.Setenv("POPLARHOOK_HEDGE_SHARE", "lots")
	_, err := settings.FromEnvironment()
	c.Assert(err, quicktest.ErrorMatches, `POPLARHOOK_HEDGE_SHARE is "lots": allowed is .*float64.*`)
	c.Setenv("POPLARHOOK_HEDGE_SHARE", "0.1")
	c.Setenv("POPLARHOOK_HEGDE_SHARE", "0.1")
	_, err = settings.FromEnvironment()
	c.Assert(err, quicktest.ErrorMatches, `POPLARHOOK_HEGDE_SHARE names no setting.*`)
}
