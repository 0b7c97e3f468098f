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
	outdatedPeerID = "laggard"
	// outdatedPeerInterval is how often an outdated peer sends its configuration to every host, unsolicited.
	outdatedPeerInterval = 5 * time.Millisecond
	// sendsPerHeartbeat is how many configurations the peer sends to each host per heartbeat.
	sendsPerHeartbeat = 20
)

// outdatedPeer is a peer of the entry hosts that always runs an older configuration and sends it to all of them.
type outdatedPeer struct {
	links        *linker.Linker
	revision     int64
	snapshotJSON []byte
}

// startOutdatedPeer starts an outdated peer and waits until it is linked with every entry host. The peer is marked as
// leaving, so that it owns no group and relays no updates.
func startOutdatedPeer(t *testing.T, running *fleet.Fleet, revision int64, encoded []byte) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	zone := running.Deployment().Zones[0]
	self := host.Host{
		ID: outdatedPeerID, Role: host.RoleEntry, Region: zone.Region, AvailabilityZone: zone.Name,
		PeerAddress: listener.Addr().String(), State: host.StateLeaving,
	}
	p := &outdatedPeer{revision: revision, snapshotJSON: encoded}
	hello := &wire.Hello{
		HostId: self.ID, Incarnation: "1", Region: self.Region, AvailabilityZone: self.AvailabilityZone, PeerAddress: self.PeerAddress,
	}
	p.links = linker.New(hello, linker.WithHandler(p.handle))
	ctx, cancel := context.WithCancel(t.Context())
	linked := p.links.Run(ctx, listener)
	sent := p.sendRepeatedly(ctx)
	t.Cleanup(func() {
		cancel()
		<-sent
		qt.Check(t, <-linked, qt.IsNil)
	})
	qt.Assert(t, running.PutHost(t.Context(), self), qt.IsNil)
	awaitCondition(t, "links from the outdated peer to every entry host", func() bool { return len(p.links.Connected()) == len(running.Entries()) })
}

// sendRepeatedly sends the configuration to every linked host until the context ends.
func (p *outdatedPeer) sendRepeatedly(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(outdatedPeerInterval)
		defer ticker.Stop()
		for round := 0; ctx.Err() == nil; round++ {
			for _, id := range p.links.Connected() {
				p.sendTo(id, round%sendsPerHeartbeat == 0)
			}
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	}()
	return ended
}

// sendTo sends the configuration to one host, after a heartbeat if withHeartbeat is set. Errors of a closed or full
// link are ignored, as the configuration is sent again soon.
func (p *outdatedPeer) sendTo(id string, withHeartbeat bool) {
	if withHeartbeat {
		_ = p.links.Send(id, &wire.Frame{Body: &wire.Frame_Heartbeat{
			Heartbeat: &wire.Heartbeat{Revision: p.revision, Leaving: true},
		}})
	}
	_ = p.links.Send(id, &wire.Frame{Body: &wire.Frame_SnapshotReply{
		SnapshotReply: &wire.SnapshotReply{Revision: p.revision, SnapshotJson: p.snapshotJSON},
	}})
}

// handle answers a host's request for the configuration with the older one.
func (p *outdatedPeer) handle(from string, frame *wire.Frame) {
	if frame.GetSnapshotRequest() != nil {
		p.sendTo(from, false)
	}
}

// readDumpedSnapshot returns the configuration that a host runs, in the encoding that hosts send to each other.
func readDumpedSnapshot(t *testing.T, running *fleet.Fleet, id string) []byte {
	t.Helper()
	var dumped struct {
		Snapshot json.RawMessage `json:"snapshot"`
	}
	qt.Assert(t, running.State(t.Context(), id, &dumped), qt.IsNil)
	return dumped.Snapshot
}
