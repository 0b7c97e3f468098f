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

// node is one host with its links, roster and heartbeats.
type node struct {
	host   host.Host
	links  *linker.Linker
	roster *roster.Roster
	beats  *heartbeater.Heartbeater
	cancel context.CancelFunc
}

func (n *node) live() []string {
	return ids(n.roster.Live(time.Now()))
}

func ids(members []member.Member) []string {
	out := []string{}
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

func start(c *qt.C, id, region string) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &node{host: host.Host{ID: id, Role: host.RoleEntry, Region: region, PeerAddress: listener.Addr().String()}}
	hello := &wire.Hello{HostId: id, Incarnation: "1", Region: region, PeerAddress: n.host.PeerAddress}
	n.roster = roster.New(time.Now(), member.Member{ID: id, Region: region, PeerAddress: n.host.PeerAddress})
	n.links = linker.New(hello, linker.WithHandler(func(from string, frame *wire.Frame) { n.beats.Handle(from, frame) }))
	n.beats = heartbeater.New(n.roster, n.links)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	linksDone, beatsDone := n.links.Run(ctx, listener), n.beats.Run(ctx)
	c.Cleanup(func() {
		cancel()
		c.Check(<-linksDone, qt.IsNil)
		c.Check(<-beatsDone, qt.IsNil)
	})
	return n
}

func await(c *qt.C, limit time.Duration, what string, condition func() bool) {
	c.Helper()
	awaiter.New(5*time.Millisecond).Await(c, limit, what, condition)
}

func TestHostsFindEachOtherLeaveAndDie(t *testing.T) {
	c := qt.New(t)
	a, b, d := start(c, "a", "r0"), start(c, "b", "r0"), start(c, "d", "r1")
	// The platform's list lags: the others know only a, and a knows nobody.
	b.beats.SetHosts([]host.Host{a.host})
	d.beats.SetHosts([]host.Host{a.host})
	for _, n := range []*node{a, b, d} {
		await(c, 10*time.Second, "all live", func() bool { return slices.Equal(n.live(), []string{"a", "b", "d"}) })
		await(c, 2*time.Second, "fresh", func() bool { return n.roster.Fresh(time.Now()) })
	}
	b.roster.SetRevision(7)
	await(c, time.Second, "revision heard", func() bool {
		return slices.ContainsFunc(a.roster.Live(time.Now()), func(m member.Member) bool { return m.ID == "b" && m.Revision == 7 })
	})
	d.beats.Leave()
	await(c, 200*time.Millisecond, "leaving heard at once", func() bool {
		return slices.Equal(ids(a.roster.Candidates(time.Now())), []string{"a", "b"})
	})
	b.cancel()
	await(c, 1300*time.Millisecond, "dead host lost", func() bool { return slices.Equal(a.live(), []string{"a", "d"}) })
}

func TestHeartbeatsOfAHundredHostsFitTheBudget(t *testing.T) {
	c := qt.New(t)
	const peers, regions, window = 99, 3, 3 * time.Second
	hub := start(c, "hub", "r0")
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
	beat := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Revision: 1000}}}
	hub.roster.SetRevision(1000)
	beatAll := func() {
		for _, l := range links {
			_ = l.Send("hub", beat)
		}
	}
	await(c, 20*time.Second, "all live", func() bool {
		beatAll()
		return len(hub.live()) == peers+1
	})
	await(c, 5*time.Second, "first heartbeat to each", func() bool {
		beatAll()
		return hub.links.Counts().FramesOut >= 2*peers
	})
	before, since := hub.links.Counts(), time.Now()
	for end := since.Add(window); time.Now().Before(end); {
		after := time.NewTimer(200 * time.Millisecond)
		<-after.C
		beatAll()
	}
	counts := hub.links.Counts()
	rate := float64(counts.BytesOut-before.BytesOut) / time.Since(since).Seconds()
	c.Logf("%.0f bytes/s out, %d frames in %s, planned %d without members", rate, counts.FramesOut-before.FramesOut, time.Since(since), hub.beats.PlannedBytes())
	c.Check(len(hub.live()), qt.Equals, peers+1)
	c.Check(rate < 5000, qt.IsTrue, qt.Commentf("%.0f bytes/s", rate))
	c.Check(rate > 2000, qt.IsTrue, qt.Commentf("%.0f bytes/s", rate))
}
