package linker

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/modules/traffic"
)

// Errors of links, to be matched with errors.Is.
var (
	ErrNotConnected = errors.New("no link to the host")
	ErrQueueFull    = errors.New("queue of the link is full")
	ErrOverBudget   = errors.New("control budget is used up")
	ErrTooLarge     = errors.New("frame is too large")
	ErrRefused      = errors.New("peer refused")
)

const (
	// ProtocolVersion is the version of the peer protocol that this release uses.
	ProtocolVersion = 1
	// MaxFrameBytes is the maximum size of an encoded frame in bytes; a configuration of 1 MiB fits.
	MaxFrameBytes = 1<<20 + 64<<10
	// FramingBytes is the number of bytes that yamux adds to each write.
	FramingBytes = headerSize

	defaultSilenceTimeout = 1300 * time.Millisecond
	defaultQueueLimit     = 256
	maxHandshakes         = 256
	checkInterval         = 100 * time.Millisecond
	// keepaliveAfter is how long a link may send nothing before an empty frame is sent. It is over half
	// a second, so that a link with a heartbeat each second needs only one keepalive between two heartbeats.
	keepaliveAfter = 550 * time.Millisecond
)

// Linker maintains at most one link to each other entry host.
type Linker struct {
	self           *wire.Hello
	handler        func(from string, frame *wire.Frame)
	linkHook       func(hostID string, up bool)
	tls            *tls.Config
	clock          func() time.Time
	limiter        Limiter
	logger         *zap.Logger
	silenceTimeout time.Duration
	queueLimit     int

	mu     sync.Mutex
	closed bool
	ctx    context.Context
	peers  []host.Host
	links  map[string]*link
	// pendingLosses holds lossReported of each host's latest link until the link hook was called for its loss.
	pendingLosses map[string]chan struct{}
	dialers       map[string]*dialer
	running       sync.WaitGroup

	framesIn, framesOut, bytesIn, bytesOut atomic.Uint64
	refused, dropped, overBudget, timedOut atomic.Uint64
}

// New returns a Linker that sends self as its hello frame. A protocol version of 0 is replaced by ProtocolVersion.
func New(self *wire.Hello, options ...Option) *Linker {
	l := &Linker{
		self:           proto.CloneOf(self),
		clock:          time.Now,
		linkHook:       func(string, bool) {},
		logger:         zap.NewNop(),
		silenceTimeout: defaultSilenceTimeout,
		queueLimit:     defaultQueueLimit,
		links:          map[string]*link{},
		pendingLosses:  map[string]chan struct{}{},
		dialers:        map[string]*dialer{},
	}
	for _, option := range options {
		option(l)
	}
	if l.self.GetProtocolVersion() == 0 {
		l.self.ProtocolVersion = ProtocolVersion
	}
	return l
}

// Run accepts and dials links until the context ends or the listener fails. The channel then delivers the listener's
// error, or nil if the context ended, and is closed.
func (l *Linker) Run(ctx context.Context, listener net.Listener) <-chan error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	l.mu.Lock()
	l.ctx = ctx
	l.startDialers(ctx)
	l.mu.Unlock()
	l.running.Go(func() { l.monitor(ctx) })
	var cause error
	l.running.Go(func() {
		defer cancel()
		cause = l.accept(ctx, listener)
	})
	done := make(chan error, 1)
	go func() {
		defer close(done)
		<-ctx.Done()
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		l.running.Wait()
		stop()
		done <- cause
	}()
	return done
}

// SetPeers sets the hosts to keep links to. Links to hosts that were set before and are no longer among
// them are closed.
func (l *Linker) SetPeers(peers []host.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = slices.DeleteFunc(slices.Clone(peers), func(h host.Host) bool {
		return h.ID == l.self.GetHostId() || h.PeerAddress == ""
	})
	for id, d := range l.dialers {
		if !slices.ContainsFunc(l.peers, func(h host.Host) bool { return h.ID == id }) {
			l.removePeer(id, d)
		}
	}
	l.startDialers(l.ctx)
}

// Send queues the frame for the host without blocking.
func (l *Linker) Send(hostID string, frame *wire.Frame) error {
	k := l.findLink(hostID)
	if k == nil {
		return errors.Wrapf(ErrNotConnected, "host %s", hostID)
	}
	p, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	if isBudgeted(frame) && !l.allowBytes(k, len(p.data)+FramingBytes) {
		l.overBudget.Add(1)
		return errors.Wrapf(ErrOverBudget, "%d bytes for host %s", len(p.data), hostID)
	}
	dropped, err := k.outbox.enqueue(p)
	l.dropped.Add(uint64(dropped))
	if err != nil {
		l.dropped.Add(1)
		return errors.Wrapf(err, "host %s", hostID)
	}
	return nil
}

// allowBytes reports whether the limiter allows the bytes. If so, the link may write that many without being charged.
func (l *Linker) allowBytes(k *link, bytes int) bool {
	if l.limiter == nil {
		return true
	}
	if !l.limiter.Allow(l.clock(), bytes) {
		return false
	}
	k.conn.prepaidBytes.Add(int64(bytes))
	return true
}

// Connected returns the sorted ids of the hosts that have a link.
func (l *Linker) Connected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]string, 0, len(l.links))
	for id := range l.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Hello returns the hello frame that the host sent when the link was made, nil without a link.
func (l *Linker) Hello(hostID string) *wire.Hello {
	k := l.findLink(hostID)
	if k == nil {
		return nil
	}
	return k.hello
}

// Counts returns the current values of the counters.
func (l *Linker) Counts() traffic.Counts {
	return traffic.Counts{
		FramesIn:   l.framesIn.Load(),
		FramesOut:  l.framesOut.Load(),
		BytesIn:    l.bytesIn.Load(),
		BytesOut:   l.bytesOut.Load(),
		Refused:    l.refused.Load(),
		Dropped:    l.dropped.Load(),
		OverBudget: l.overBudget.Load(),
		TimedOut:   l.timedOut.Load(),
	}
}
