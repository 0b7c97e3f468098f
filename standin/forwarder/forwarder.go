package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const dialTimeout = 5 * time.Second

// Settings are the simulated delay and faults of the link.
type Settings struct {
	// DelayMS is the delay of bytes in each direction, in milliseconds; opening a connection takes twice this time.
	DelayMS int `json:"delay_ms"`
	// CutToTarget delays bytes to the target for as long as it is set, as a link with packet loss does.
	CutToTarget bool `json:"cut_to_target"`
	// CutFromTarget delays bytes from the target for as long as it is set.
	CutFromTarget bool `json:"cut_from_target"`
	// Silence makes the connections that are open when it is set discard all further bytes; it acts once, and new
	// connections work.
	Silence bool `json:"silence"`
	// Reset resets the connections that are open when it is set; it acts once.
	Reset bool `json:"reset"`
	// Refuse resets new connections for as long as it is set.
	Refuse bool `json:"refuse"`
}

// Forwarder relays all connections that one listener accepts to one target.
type Forwarder struct {
	target string

	mu              sync.Mutex
	settings        Settings
	settingsChanged chan struct{}
	connPairs       map[*connPair]struct{}
	bytesToTarget   int64
	bytesFromTarget int64
	address         string
	openRelays      sync.WaitGroup
}

// New returns a forwarder to the target, an address such as 127.0.0.1:7000.
func New(target string, settings Settings) *Forwarder {
	return &Forwarder{
		target:          target,
		settings:        settings,
		settingsChanged: make(chan struct{}),
		connPairs:       make(map[*connPair]struct{}),
	}
}

// Start listens at the address and relays until the context ends; the channel then receives the final error, or nil.
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
		err := f.acceptConnections(ctx, listener)
		f.openRelays.Wait()
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

// Settings returns the current settings of the link.
func (f *Forwarder) Settings() Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// Bytes returns how many bytes the forwarder has received in each direction.
func (f *Forwarder) Bytes() (toTarget, fromTarget int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytesToTarget, f.bytesFromTarget
}

// Change changes the settings of the link; Silence and Reset act once and are then false again.
func (f *Forwarder) Change(change func(*Settings)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.settings)
	for open := range f.connPairs {
		if f.settings.Silence {
			open.silence()
		}
		if f.settings.Reset {
			open.reset()
		}
	}
	f.settings.Silence = false
	f.settings.Reset = false
	close(f.settingsChanged)
	f.settingsChanged = make(chan struct{})
}

func (f *Forwarder) acceptConnections(ctx context.Context, listener net.Listener) error {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return f.acceptError(ctx, err)
		}
		if f.Settings().Refuse {
			resetConn(caller)
			continue
		}
		f.openRelays.Go(func() { f.relayConnection(ctx, caller) })
	}
}

func (f *Forwarder) acceptError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return errors.Wrapf(err, "relay to %s", f.target)
	}
	return nil
}

// relayConnection forwards one connection to the target until both directions have ended.
func (f *Forwarder) relayConnection(ctx context.Context, caller net.Conn) {
	if !f.waitConnectDelay(ctx) {
		resetConn(caller)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", f.target)
	if err != nil {
		resetConn(caller)
		return
	}
	opened := newConnPair(caller, target)
	f.addPair(opened)
	defer f.removePair(opened)
	stop := context.AfterFunc(ctx, opened.reset)
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { f.relayDirection(opened, toTarget) })
	directions.Go(func() { f.relayDirection(opened, fromTarget) })
	directions.Wait()
	opened.close()
}

// waitConnectDelay waits for the round-trip time that the opening of a connection takes, and returns false when the
// context ends first.
func (f *Forwarder) waitConnectDelay(ctx context.Context) bool {
	timer := time.NewTimer(2 * f.linkDelay())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// linkDelay returns the simulated delay of bytes in each direction.
func (f *Forwarder) linkDelay() time.Duration {
	return time.Duration(f.Settings().DelayMS) * time.Millisecond
}

func (f *Forwarder) addPair(opened *connPair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connPairs[opened] = struct{}{}
}

func (f *Forwarder) removePair(closed *connPair) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.connPairs, closed)
}

// waitWhileCut waits while the direction is cut, and returns false when the connPair ends first.
func (f *Forwarder) waitWhileCut(open *connPair, dir direction) bool {
	for {
		f.mu.Lock()
		isCut, changed := f.settings.CutToTarget, f.settingsChanged
		if dir == fromTarget {
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

func (f *Forwarder) countBytes(dir direction, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if dir == toTarget {
		f.bytesToTarget += int64(n)
	} else {
		f.bytesFromTarget += int64(n)
	}
}
