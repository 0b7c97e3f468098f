package failures_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/modules/linker"
	"poplarhook.example/tests/fleet"
)

const (
	laggardID = "laggard"
	// laggardPace is how often a laggard sends its configuration to every host, asked or not.
	laggardPace = 5 * time.Millisecond
	// laggardBeats is how many of these go out for each heartbeat.
	laggardBeats = 20
)

// laggard is a peer of the entry hosts that runs an older configuration for good and sends it to all of them.
type laggard struct {
	links    *linker.Linker
	revision int64
	encoded  []byte
}

// startLaggard links a laggard with every entry host; it is leaving, so that it owns and relays nothing.
func startLaggard(t *testing.T, running *fleet.Fleet, revision int64, encoded []byte) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	place := running.Deployment().Zones[0]
	self := host.Host{
		ID: laggardID, Role: host.RoleEntry, Region: place.Region, AvailabilityZone: place.Name,
		PeerAddress: listener.Addr().String(), State: host.StateLeaving,
	}
	l := &laggard{revision: revision, encoded: encoded}
	greeting := &wire.Hello{
		HostId: self.ID, Incarnation: "1", Region: self.Region, AvailabilityZone: self.AvailabilityZone, PeerAddress: self.PeerAddress,
	}
	l.links = linker.New(greeting, linker.WithHandler(l.handle))
	ctx, cancel := context.WithCancel(t.Context())
	linked := l.links.Run(ctx, listener)
	sent := l.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-sent
		qt.Check(t, <-linked, qt.IsNil)
	})
	qt.Assert(t, running.PutHost(t.Context(), self), qt.IsNil)
	await(t, "the laggard to be linked with all", func() bool { return len(l.links.Connected()) == len(running.Entries()) })
}

// run sends to every linked host until the context ends.
func (l *laggard) run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(laggardPace)
		defer ticker.Stop()
		for round := 0; ctx.Err() == nil; round++ {
			for _, id := range l.links.Connected() {
				l.sendTo(id, round%laggardBeats == 0)
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	}()
	return ended
}

// sendTo sends what it can: a link that is gone or full gets the next one.
func (l *laggard) sendTo(id string, beat bool) {
	if beat {
		_ = l.links.Send(id, &wire.Frame{Body: &wire.Frame_Heartbeat{
			Heartbeat: &wire.Heartbeat{Revision: l.revision, Leaving: true},
		}})
	}
	_ = l.links.Send(id, &wire.Frame{Body: &wire.Frame_SnapshotReply{
		SnapshotReply: &wire.SnapshotReply{Revision: l.revision, SnapshotJson: l.encoded},
	}})
}

// handle answers a request with the older configuration.
func (l *laggard) handle(from string, frame *wire.Frame) {
	if frame.GetSnapshotRequest() != nil {
		l.sendTo(from, false)
	}
}

// dumpedSnapshot returns the configuration that a host runs, as one host sends it to another.
func dumpedSnapshot(t *testing.T, running *fleet.Fleet, id string) []byte {
	t.Helper()
	var dumped struct {
		Snapshot json.RawMessage `json:"snapshot"`
	}
	qt.Assert(t, running.State(t.Context(), id, &dumped), qt.IsNil)
	return dumped.Snapshot
}
