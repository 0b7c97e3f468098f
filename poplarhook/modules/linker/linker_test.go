package linker_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/modules/linker"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// node is a Linker on a loopback port that records the frames it receives.
type node struct {
	*linker.Linker
	host host.Host
	mu   sync.Mutex
	got  []*wire.Frame
}

func (n *node) received() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.got)
}

func start(c *qt.C, id string, options ...linker.Option) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	return startOn(c, id, listener, options...)
}

func startOn(c *qt.C, id string, listener net.Listener, options ...linker.Option) *node {
	n := &node{host: host.Host{ID: id, PeerAddress: listener.Addr().String()}}
	record := linker.WithHandler(func(_ string, frame *wire.Frame) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.got = append(n.got, frame)
	})
	n.Linker = linker.New(&wire.Hello{HostId: id, Incarnation: "1"}, append([]linker.Option{record}, options...)...)
	ctx, cancel := context.WithCancel(context.Background())
	done := n.Run(ctx, listener)
	c.Cleanup(func() {
		cancel()
		c.Check(<-done, qt.IsNil)
	})
	return n
}

// await polls the condition, as links are made in the background.
func await(c *qt.C, limit time.Duration, what string, condition func() bool) {
	c.Helper()
	awaiter.New(2*time.Millisecond).Await(c, limit, what, condition)
}

func demand(sequence uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Demand{Demand: &wire.Demand{Group: 1, Count: 1, Sequence: sequence}}}
}

func credit() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Credit{Credit: &wire.Credit{Group: 1, Count: 1}}}
}

func join(nodes ...*node) {
	hosts := make([]host.Host, 0, len(nodes))
	for _, n := range nodes {
		hosts = append(hosts, n.host)
	}
	for _, n := range nodes {
		n.SetPeers(hosts)
	}
}

func TestHostsThatDialEachOtherKeepOneLink(t *testing.T) {
	c := qt.New(t)
	const size = 6
	nodes := make([]*node, 0, size)
	for i := range size {
		nodes = append(nodes, start(c, fmt.Sprintf("host-%d", i)))
	}
	join(nodes...)
	for _, n := range nodes {
		await(c, 5*time.Second, "all connected", func() bool { return len(n.Connected()) == size-1 })
	}
	for i := range 50 {
		for _, to := range nodes[1:] {
			c.Assert(nodes[0].Send(to.host.ID, demand(uint64(i))), qt.IsNil)
		}
	}
	for _, to := range nodes[1:] {
		await(c, 5*time.Second, "frames arrive", func() bool { return to.received() == 50 })
		to.mu.Lock()
		for i, frame := range to.got {
			c.Check(frame.GetDemand().GetSequence(), qt.Equals, uint64(i))
		}
		to.mu.Unlock()
	}
	c.Check(nodes[0].Counts().BytesOut > 0, qt.IsTrue)
}

func TestSendWithoutLink(t *testing.T) {
	c := qt.New(t)
	a, b := start(c, "a"), start(c, "b")
	c.Check(errors.Is(a.Send("b", credit()), linker.ErrNotConnected), qt.IsTrue)
	join(a, b)
	await(c, 5*time.Second, "connected", func() bool { return len(a.Connected()) == 1 })
	large := &wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: &wire.SnapshotReply{SnapshotJson: make([]byte, linker.MaxFrameBytes)}}}
	c.Check(errors.Is(a.Send("b", large), linker.ErrTooLarge), qt.IsTrue)
	a.SetPeers(nil)
	await(c, 5*time.Second, "removed peer dropped", func() bool { return len(a.Connected()) == 0 })
}

// denyingLimiter allows nothing.
type denyingLimiter struct{}

func (denyingLimiter) Allow(time.Time, int) bool { return false }

func (denyingLimiter) Charge(time.Time, int) {}

// countingLimiter allows all bytes and counts them.
type countingLimiter struct{ allowed, charged atomic.Uint64 }

func (l *countingLimiter) Allow(_ time.Time, bytes int) bool {
	l.allowed.Add(uint64(bytes))
	return true
}

func (l *countingLimiter) Charge(_ time.Time, bytes int) { l.charged.Add(uint64(bytes)) }

func TestAllSocketBytesCountAgainstBudget(t *testing.T) {
	c := qt.New(t)
	spent := &countingLimiter{}
	a, b := start(c, "a", linker.WithLimiter(spent)), start(c, "b")
	join(a, b)
	await(c, 5*time.Second, "connected", func() bool { return len(a.Connected()) == 1 })
	for range 10 {
		c.Check(a.Send("b", credit()), qt.IsNil)
		c.Check(a.Send("b", &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{}}}), qt.IsNil)
	}
	await(c, 5*time.Second, "frames arrive", func() bool { return b.received() == 20 })
	// Frames written together need fewer bytes than were allowed for them. Keepalives use up the rest, and then the
	// sums agree.
	await(c, 10*time.Second, "sums agree", func() bool {
		return a.Counts().BytesOut == spent.allowed.Load()+spent.charged.Load()
	})
	c.Check(spent.charged.Load() > 0, qt.IsTrue)
}

func TestLimiterAppliesToControlFramesButNotToHeartbeats(t *testing.T) {
	c := qt.New(t)
	a, b := start(c, "a", linker.WithLimiter(denyingLimiter{})), start(c, "b")
	join(a, b)
	await(c, 5*time.Second, "connected", func() bool { return len(a.Connected()) == 1 })
	c.Check(errors.Is(a.Send("b", credit()), linker.ErrOverBudget), qt.IsTrue)
	c.Check(a.Send("b", &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{}}}), qt.IsNil)
	await(c, 5*time.Second, "heartbeat arrives", func() bool { return b.received() == 1 })
	c.Check(a.Counts().OverBudget, qt.Equals, uint64(1))
}

func TestAdjacentProtocolVersionIsAcceptedAndOthersAreRefused(t *testing.T) {
	for _, test := range []struct {
		version   uint32
		connected int
	}{{1, 1}, {2, 1}, {3, 0}} {
		c := qt.New(t)
		a := start(c, "a")
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		hello := &wire.Hello{HostId: "b", ProtocolVersion: test.version}
		ctx, cancel := context.WithCancel(context.Background())
		b := linker.New(hello)
		done := b.Run(ctx, listener)
		a.SetPeers([]host.Host{{ID: "b", PeerAddress: listener.Addr().String()}})
		await(c, 5*time.Second, "link made or refused", func() bool {
			return len(a.Connected()) == test.connected && (test.connected == 1 || a.Counts().Refused > 0)
		})
		cancel()
		c.Check(<-done, qt.IsNil)
	}
}

// rawPeer connects to the node, sends a hello as the given host and returns the stream for the test to write to.
func rawPeer(c *qt.C, to *node, id string) *yamux.Stream {
	conn, err := net.Dial("tcp", to.host.PeerAddress)
	c.Assert(err, qt.IsNil)
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	session, err := yamux.Client(conn, config)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = session.Close() })
	stream, err := session.OpenStream()
	c.Assert(err, qt.IsNil)
	_, err = protodelim.MarshalTo(stream, &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{HostId: id, ProtocolVersion: 1}}})
	c.Assert(err, qt.IsNil)
	await(c, 5*time.Second, "hello accepted", func() bool { return len(to.Connected()) == 1 })
	return stream
}

func TestUnknownAndOversizedFramesAreRefused(t *testing.T) {
	c := qt.New(t)
	a := start(c, "a")
	stream := rawPeer(c, a, "raw")
	const unknownField = 15<<3 | 2
	_, err := stream.Write([]byte{3, unknownField, 1, 'x'})
	c.Assert(err, qt.IsNil)
	await(c, time.Second, "unknown counted", func() bool { return a.Counts().Refused == 1 })
	c.Check(a.Connected(), qt.DeepEquals, []string{"raw"})
	// The link may be closed before the write returns, so the write may succeed or fail.
	_, _ = stream.Write(binary.AppendUvarint(nil, linker.MaxFrameBytes+1))
	await(c, time.Second, "oversized closes", func() bool { return a.Counts().Refused == 2 && len(a.Connected()) == 0 })
	c.Check(a.received(), qt.Equals, 0)
}

func TestSilentLinkIsClosedAndReplaced(t *testing.T) {
	c := qt.New(t)
	a := start(c, "a")
	rawPeer(c, a, "b")
	silentSince := time.Now()
	await(c, 1500*time.Millisecond, "silent link closed", func() bool { return len(a.Connected()) == 0 })
	c.Logf("silent link closed after %s", time.Since(silentSince))
	c.Check(a.Counts().TimedOut, qt.Equals, uint64(1))
	b := start(c, "b")
	join(a, b)
	await(c, 5*time.Second, "replaced", func() bool { return len(a.Connected()) == 1 })
}

func TestLinkStaysOpenWhenPeerAddressChanges(t *testing.T) {
	c := qt.New(t)
	var lost atomic.Bool
	a := start(c, "a", linker.WithLinkHook(func(_ string, up bool) {
		if !up {
			lost.Store(true)
		}
	}))
	b := start(c, "b")
	a.SetPeers([]host.Host{b.host})
	await(c, 5*time.Second, "connected", func() bool { return len(a.Connected()) == 1 })
	a.SetPeers([]host.Host{{ID: "b", PeerAddress: "127.0.0.1:1"}})
	c.Assert(a.Send("b", credit()), qt.IsNil)
	await(c, time.Second, "frame on the old link", func() bool { return b.received() == 1 })
	c.Check(lost.Load(), qt.IsFalse)
}

func TestLinkLossIsReportedBeforeNextLink(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	var changes []bool
	reportedChanges := func() []bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(changes)
	}
	release := make(chan struct{})
	a := start(c, "a", linker.WithHandler(func(string, *wire.Frame) { <-release }),
		linker.WithLinkHook(func(_ string, up bool) {
			mu.Lock()
			defer mu.Unlock()
			changes = append(changes, up)
		}))
	_, err := protodelim.MarshalTo(rawPeer(c, a, "b"), demand(1))
	c.Assert(err, qt.IsNil)
	await(c, 1500*time.Millisecond, "silent link closed", func() bool { return len(a.Connected()) == 0 })
	rawPeer(c, a, "b")
	close(release)
	await(c, time.Second, "loss and new link reported", func() bool { return len(reportedChanges()) == 3 })
	c.Check(reportedChanges(), qt.DeepEquals, []bool{true, false, true})
}

// forwarder is a TCP proxy in front of a host. After cut, its connections stay open but carry no more bytes, as when a
// network drops all packets.
type forwarder struct {
	mu    sync.Mutex
	pairs []*pair
}

// pair is one proxied connection: in comes from the client, out goes to the target.
type pair struct {
	in, out net.Conn
	cut     atomic.Bool
}

func (p *pair) pipe(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.cut.Load() && err == nil {
			continue
		}
		if err != nil && !p.cut.Load() {
			to.Close()
		}
		if err != nil {
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

func (f *forwarder) cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.cut.Store(true)
	}
}

func (f *forwarder) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pairs {
		p.in.Close()
		p.out.Close()
	}
}

func startForwarder(c *qt.C, target string) (f *forwarder, address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f = &forwarder{}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			p := &pair{in: in, out: out}
			f.mu.Lock()
			f.pairs = append(f.pairs, p)
			f.mu.Unlock()
			running.Go(func() { p.pipe(out, in) })
			running.Go(func() { p.pipe(in, out) })
		}
	})
	c.Cleanup(func() {
		listener.Close()
		f.close()
		running.Wait()
	})
	return f, listener.Addr().String()
}

func TestLinkCutWithoutResetIsReplaced(t *testing.T) {
	c := qt.New(t)
	a, b := start(c, "a"), start(c, "b")
	forwarder, address := startForwarder(c, b.host.PeerAddress)
	a.SetPeers([]host.Host{{ID: "b", PeerAddress: address}})
	await(c, 5*time.Second, "connected", func() bool { return len(a.Connected()) == 1 && len(b.Connected()) == 1 })
	forwarder.cut()
	await(c, 1500*time.Millisecond, "silent link detected", func() bool {
		return a.Counts().TimedOut+b.Counts().TimedOut > 0
	})
	await(c, 2*time.Second, "frame on the new link", func() bool {
		return a.Send("b", credit()) == nil && b.received() > 0
	})
}
