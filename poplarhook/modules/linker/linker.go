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

// Errors of links; errors.Is tells them apart.
var (
	ErrNotConnected = errors.New("no link to the host")
	ErrQueueFull    = errors.New("queue of the link is full")
	ErrOverBudget   = errors.New("control budget is used up")
	ErrTooLarge     = errors.New("frame is too large")
	ErrRefused      = errors.New("peer refused")
)

const (
	// ProtocolVersion is the version of the messages that this release speaks.
	ProtocolVersion = 1
	// MaxFrameBytes bounds one frame; a configuration of 1 MiB fits.
	MaxFrameBytes = 1<<20 + 64<<10
	// FramingBytes is what yamux adds to each write.
	FramingBytes = headerSize

	defaultSilence    = 1300 * time.Millisecond
	defaultQueueLimit = 256
	maxHandshakes     = 256
	checkInterval     = 100 * time.Millisecond
	// keepaliveAfter is how long a link may send nothing before an empty frame goes out; over half
	// a second, so that heartbeats each second need only one between them.
	keepaliveAfter = 550 * time.Millisecond
)

// Linker holds at most one link to each other entry host.
type Linker struct {
	self       *wire.Hello
	handler    func(from string, frame *wire.Frame)
	hook       func(hostID string, up bool)
	tls        *tls.Config
	clock      func() time.Time
	limiter    Limiter
	logger     *zap.Logger
	silence    time.Duration
	queueLimit int

	mu     sync.Mutex
	closed bool
	ctx    context.Context
	wanted []host.Host
	links  map[string]*link
	// ends holds the end of each host's latest link, until it was told.
	ends    map[string]chan struct{}
	dialers map[string]*dialer
	running sync.WaitGroup

	framesIn, framesOut, bytesIn, bytesOut atomic.Uint64
	refused, dropped, overBudget, silenced atomic.Uint64
}

// New returns a Linker that greets as self.
func New(self *wire.Hello, options ...Option) *Linker {
	l := &Linker{
		self:       proto.CloneOf(self),
		clock:      time.Now,
		hook:       func(string, bool) {},
		logger:     zap.NewNop(),
		silence:    defaultSilence,
		queueLimit: defaultQueueLimit,
		links:      map[string]*link{},
		ends:       map[string]chan struct{}{},
		dialers:    map[string]*dialer{},
	}
	for _, option := range options {
		option(l)
	}
	if l.self.GetProtocolVersion() == 0 {
		l.self.ProtocolVersion = ProtocolVersion
	}
	return l
}

// Run accepts and dials links until the context ends or the listener fails; the channel then carries the cause, nil for the context, and closes.
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

// SetPeers says which hosts there should be links to; those named before and no longer are dropped.
func (l *Linker) SetPeers(peers []host.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted = slices.DeleteFunc(slices.Clone(peers), func(h host.Host) bool {
		return h.ID == l.self.GetHostId() || h.PeerAddress == ""
	})
	for id, d := range l.dialers {
		if !slices.ContainsFunc(l.wanted, func(h host.Host) bool { return h.ID == id }) {
			l.drop(id, d)
		}
	}
	l.startDialers(l.ctx)
}

// Send queues the frame for the host without waiting.
func (l *Linker) Send(hostID string, frame *wire.Frame) error {
	k := l.find(hostID)
	if k == nil {
		return errors.Wrapf(ErrNotConnected, "host %s", hostID)
	}
	p, err := encode(frame)
	if err != nil {
		return err
	}
	if isBudgeted(frame) && !l.allow(k, len(p.data)+FramingBytes) {
		l.overBudget.Add(1)
		return errors.Wrapf(ErrOverBudget, "%d bytes for host %s", len(p.data), hostID)
	}
	dropped, err := k.outbox.put(p)
	l.dropped.Add(uint64(dropped))
	if err != nil {
		l.dropped.Add(1)
		return errors.Wrapf(err, "host %s", hostID)
	}
	return nil
}

// allow asks the budget for bytes, which the link may then write without being charged.
func (l *Linker) allow(k *link, bytes int) bool {
	if l.limiter == nil {
		return true
	}
	if !l.limiter.Allow(l.clock(), bytes) {
		return false
	}
	k.conn.prepaid.Add(int64(bytes))
	return true
}

// Connected returns the ids of the hosts with a link, sorted.
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

// Greeting returns what the host said of itself when the link was made, nil without a link.
func (l *Linker) Greeting(hostID string) *wire.Hello {
	k := l.find(hostID)
	if k == nil {
		return nil
	}
	return k.peer
}

// Counts returns a reading of the counters.
func (l *Linker) Counts() traffic.Counts {
	return traffic.Counts{
		FramesIn:   l.framesIn.Load(),
		FramesOut:  l.framesOut.Load(),
		BytesIn:    l.bytesIn.Load(),
		BytesOut:   l.bytesOut.Load(),
		Refused:    l.refused.Load(),
		Dropped:    l.dropped.Load(),
		OverBudget: l.overBudget.Load(),
		Silenced:   l.silenced.Load(),
	}
}
