package linker

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/wire"
)

func TestOverdueCheckTimeIsNotCountedAsSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name     string
		gap      time.Duration
		overdue  time.Duration
		timedOut uint64
	}{
		{name: "bytes received within the timeout", gap: time.Second},
		{name: "silent", gap: 1400 * time.Millisecond, timedOut: 1},
		{name: "this process was paused", gap: time.Minute, overdue: time.Minute - checkInterval},
		{name: "this process ran slowly", gap: 1400 * time.Millisecond, overdue: 300 * time.Millisecond},
		{name: "silent for longer than the check was overdue", gap: 2 * time.Second, overdue: 300 * time.Millisecond, timedOut: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			l := New(&wire.Hello{HostId: "a"}, WithClock(func() time.Time { return start }))
			near, far := net.Pipe()
			defer near.Close()
			defer far.Close()
			l.links["b"] = &link{
				hello:  &wire.Hello{HostId: "b"},
				conn:   newMeteredConn(near, l.clock, &l.bytesIn, &l.bytesOut, nil),
				outbox: newOutbox(1),
				close:  func() {},
			}
			l.checkLinks(start.Add(test.gap), test.overdue)
			c.Check(l.Counts().TimedOut, qt.Equals, test.timedOut)
		})
	}
}
