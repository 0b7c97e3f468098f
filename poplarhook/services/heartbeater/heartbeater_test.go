package heartbeater_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/member"
	"poplarhook.example/poplarhook/models/roster"
	"poplarhook.example/poplarhook/modules/linker"
	"poplarhook.example/poplarhook/services/heartbeater"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// testHost is one host with its links, roster and Heartbeater.
type testHost struct {
	host        host.Host
	links       *linker.Linker
	roster      *roster.Roster
	heartbeater *heartbeater.Heartbeater
	cancel      context.CancelFunc
}

func (n *testHost) liveIDs() []string {
	return memberIDs(n.roster.Live(time.Now()))
}

func memberIDs(members []member.Member) []string {
	ids := []string{}
	for _, m := range members {
		ids = append(ids, m.ID)
	}
	return ids
}

func startHost(c *qt.C, id, region string) *testHost {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &testHost{host: host.Host{ID: id, Role: host.RoleEntry, Region: region, PeerAddress: listener.Addr().String()}}
	hello := &wire.Hello{HostId: id, Incarnation: "1", Region: region, PeerAddress: n.host.PeerAddress}
	n.roster = roster.New(time.Now(), member.Member{ID: id, Region: region, PeerAddress: n.host.PeerAddress})
	n.links = linker.New(hello, linker.WithHandler(func(from string, frame *wire.Frame) { n.heartbeater.Handle(from, frame) }))
	n.heartbeater = heartbeater.New(n.roster, n.links)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	linksDone, heartbeaterDone := n.links.Run(ctx, listener), n.heartbeater.Run(ctx)
	c.Cleanup(func() {
		cancel()
		c.Check(<-linksDone, qt.IsNil)
		c.Check(<-heartbeaterDone, qt.IsNil)
	})
	return n
}

func await(c *qt.C, limit time.Duration, what string, condition func() bool) {
	c.Helper()
	awaiter.New(5*time.Millisecond).Await(c, limit, what, condition)
}

func TestHostsDiscoverEachOtherAndNoticeLeavingAndDeadHosts(t *testing.T) {
	c := qt.New(t)
	a, b, d := startHost(c, "a", "r0"), startHost(c, "b", "r0"), startHost(c, "d", "r1")
	// The platform's host list is incomplete: b and d are given only a, and a is given no other host.
	b.heartbeater.SetHosts([]host.Host{a.host})
	d.heartbeater.SetHosts([]host.Host{a.host})
	for _, n := range []*testHost{a, b, d} {
		await(c, 10*time.Second, "all hosts are live", func() bool { return slices.Equal(n.liveIDs(), []string{"a", "b", "d"}) })
		await(c, 2*time.Second, "the roster is fresh", func() bool { return n.roster.IsFresh(time.Now()) })
	}
	b.roster.SetRevision(7)
	await(c, time.Second, "the new revision is received", func() bool {
		return slices.ContainsFunc(a.roster.Live(time.Now()), func(m member.Member) bool { return m.ID == "b" && m.Revision == 7 })
	})
	d.heartbeater.Leave()
	await(c, 200*time.Millisecond, "the leaving host is no candidate any more", func() bool {
		return slices.Equal(memberIDs(a.roster.Candidates(time.Now())), []string{"a", "b"})
	})
	b.cancel()
	await(c, 1300*time.Millisecond, "the dead host is no longer live", func() bool { return slices.Equal(a.liveIDs(), []string{"a", "d"}) })
}

func TestHeartbeatsOfAHundredHostsFitTheBudget(t *testing.T) {
	c := qt.New(t)
	const peers, regions, window = 99, 3, 3 * time.Second
	hub := startHost(c, "hub", "r0")
	links := make([]*linker.Linker, 0, peers)
	for i := range peers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		l := linker.New(&wire.Hello{
			HostId: fmt.Sprintf("entry-%03d", i), Incarnation: "1", Region: fmt.Sprintf("r%d", i%regions),
			AvailabilityZone: "zone-a", PeerAddress: listener.Addr().String(), AdminAddress: listener.Addr().String(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := l.Run(ctx, listener)
		c.Cleanup(func() {
			cancel()
			c.Check(<-done, qt.IsNil)
		})
		l.SetPeers([]host.Host{hub.host})
		links = append(links, l)
	}
	heartbeat := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Revision: 1000}}}
	hub.roster.SetRevision(1000)
	sendHeartbeats := func() {
		for _, l := range links {
			_ = l.Send("hub", heartbeat)
		}
	}
	await(c, 20*time.Second, "all hosts are live", func() bool {
		sendHeartbeats()
		return len(hub.liveIDs()) == peers+1
	})
	await(c, 5*time.Second, "first heartbeat to each host", func() bool {
		sendHeartbeats()
		return hub.links.Counts().FramesOut >= 2*peers
	})
	before, since := hub.links.Counts(), time.Now()
	for end := since.Add(window); time.Now().Before(end); {
		timer := time.NewTimer(200 * time.Millisecond)
		<-timer.C
		sendHeartbeats()
	}
	counts := hub.links.Counts()
	rate := float64(counts.BytesOut-before.BytesOut) / time.Since(since).Seconds()
	c.Logf("%.0f bytes/s out, %d frames in %s, planned %d without members", rate, counts.FramesOut-before.FramesOut, time.Since(since), hub.heartbeater.PlannedBytes())
	c.Check(len(hub.liveIDs()), qt.Equals, peers+1)
	c.Check(rate < 5000, qt.IsTrue, qt.Commentf("%.0f bytes/s", rate))
	c.Check(rate > 2000, qt.IsTrue, qt.Commentf("%.0f bytes/s", rate))
}
