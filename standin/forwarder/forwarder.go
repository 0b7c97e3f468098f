package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const dialTimeout = 5 * time.Second

// Settings are the faults of the link.
type Settings struct {
	// DelayMS is the time that bytes take in each direction; opening a connection takes it twice.
	DelayMS int `json:"delay_ms"`
	// CutToTarget holds bytes to the target back while it is set, as a lossy link does.
	CutToTarget bool `json:"cut_to_target"`
	// CutFromTarget holds bytes from the target back while it is set.
	CutFromTarget bool `json:"cut_from_target"`
	// Silence lets the connections open now fall silent for good, once; new ones work.
	Silence bool `json:"silence"`
	// Reset resets the connections open now, once.
	Reset bool `json:"reset"`
	// Refuse resets new connections while it is set.
	Refuse bool `json:"refuse"`
}

// Forwarder relays the connections of one listener to one target.
type Forwarder struct {
	target string

	mu        sync.Mutex
	settings  Settings
	changed   chan struct{}
	links     map[*link]struct{}
	bytesTo   int64
	bytesFrom int64
	address   string
	relaying  sync.WaitGroup
}

// New returns a forwarder to a target address such as 127.0.0.1:7000.
func New(target string, settings Settings) *Forwarder {
	return &Forwarder{
		target:   target,
		settings: settings,
		changed:  make(chan struct{}),
		links:    make(map[*link]struct{}),
	}
}

// Start listens at the address and relays until the context ends; the channel reports the end.
func (f *Forwarder) Start(ctx context.Context, address string) (<-chan error, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "relay to %s", f.target)
	}
	f.mu.Lock()
	f.address = listener.Addr().String()
	f.mu.Unlock()
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		defer stop()
		err := f.accept(ctx, listener)
		f.relaying.Wait()
		done <- err
	}()
	return done, nil
}

// Address returns the address at which the forwarder listens.
func (f *Forwarder) Address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address
}

// Settings returns the faults of the link as they are now.
func (f *Forwarder) Settings() Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// Bytes returns how many bytes arrived for the target and from it.
func (f *Forwarder) Bytes() (toTarget, fromTarget int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytesTo, f.bytesFrom
}

// Change changes the faults of the link; Silence and Reset act once.
func (f *Forwarder) Change(change func(*Settings)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.settings)
	for open := range f.links {
		if f.settings.Silence {
			open.silence()
		}
		if f.settings.Reset {
			open.reset()
		}
	}
	f.settings.Silence = false
	f.settings.Reset = false
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Forwarder) accept(ctx context.Context, listener net.Listener) error {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return f.acceptError(ctx, err)
		}
		if f.Settings().Refuse {
			resetConn(caller)
			continue
		}
		f.relaying.Go(func() { f.relay(ctx, caller) })
	}
}

func (f *Forwarder) acceptError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return errors.Wrapf(err, "relay to %s", f.target)
	}
	return nil
}

// relay runs one connection to its end.
func (f *Forwarder) relay(ctx context.Context, caller net.Conn) {
	if !f.open(ctx) {
		resetConn(caller)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", f.target)
	if err != nil {
		resetConn(caller)
		return
	}
	opened := newLink(caller, target)
	f.add(opened)
	defer f.remove(opened)
	stop := context.AfterFunc(ctx, opened.reset)
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { f.carry(opened, toTarget) })
	both.Go(func() { f.carry(opened, fromTarget) })
	both.Wait()
	opened.close()
}

// open waits while the opening of a connection is on its way there and back, and returns false when the context
// ended first.
func (f *Forwarder) open(ctx context.Context) bool {
	timer := time.NewTimer(2 * f.delay())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// delay is the time that bytes take in each direction.
func (f *Forwarder) delay() time.Duration {
	return time.Duration(f.Settings().DelayMS) * time.Millisecond
}

func (f *Forwarder) add(opened *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[opened] = struct{}{}
}

func (f *Forwarder) remove(closed *link) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.links, closed)
}

// await returns when the direction is not cut, or false when the link ended first.
func (f *Forwarder) await(open *link, way direction) bool {
	for {
		f.mu.Lock()
		isCut, changed := f.settings.CutToTarget, f.changed
		if way == fromTarget {
			isCut = f.settings.CutFromTarget
		}
		f.mu.Unlock()
		if !isCut {
			return true
		}
		select {
		case <-changed:
		case <-open.ended:
			return false
		}
	}
}

func (f *Forwarder) count(way direction, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if way == toTarget {
		f.bytesTo += int64(n)
	} else {
		f.bytesFrom += int64(n)
	}
}
