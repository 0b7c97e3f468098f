package host_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
)

func TestIsSameIgnoresInsignificantChanges(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	cold := host.Host{ID: "e", Address: "127.0.0.1:1", State: host.StateLive, ColdUntil: now.Add(5 * time.Second)}
	warm := cold
	warm.ColdUntil = time.Time{}
	tests := []struct {
		name          string
		before, after host.Host
		same          bool
	}{
		{"cold until almost the same time", cold, withColdUntil(cold, now.Add(5100*time.Millisecond)), true},
		{"cold for longer", cold, withColdUntil(cold, now.Add(7*time.Second)), false},
		{"warm sooner", cold, warm, false},
		{"cold again", warm, cold, false},
		{"cold until a past time and never cold", withColdUntil(cold, now.Add(-time.Second)), warm, true},
		{"leaving", warm, warm.WithState(host.StateLeaving), false},
		{"unchanged", warm, warm, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.before.IsSame(now, test.after), qt.Equals, test.same)
		})
	}
}

func withColdUntil(h host.Host, end time.Time) host.Host {
	h.ColdUntil = end
	return h
}
