package responder

import (
	"context"
	"hash/fnv"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/standin/account"
	"poplarhook.example/standin/execution"
	"poplarhook.example/standin/gatekeeper"
	"poplarhook.example/standin/pacer"
	"poplarhook.example/standin/reporter"
)

const (
	defaultAddress    = "127.0.0.1:0"
	defaultSlots      = 2
	defaultQueue      = 1024
	defaultService    = 4 * time.Millisecond
	defaultColdLimit  = 1
	defaultColdFactor = 1
	readHeaderTimeout = 10 * time.Second
)

// Responder is one endpoint that serves at its own address.
type Responder struct {
	seed          uint64
	meanService   time.Duration
	spellFactor   float64
	spellLength   time.Duration
	spellInterval time.Duration
	coldRequests  int
	coldLimit     int
	coldFactor    float64
	coldGrace     time.Duration
	startsWarm    bool
	queueLimit    int
	connectDelay  time.Duration
	recording     bool
	clock         func() time.Time

	pacer    *pacer.Pacer
	reporter *reporter.Reporter
	gate     *gatekeeper.Gatekeeper

	mu         sync.Mutex
	host       host.Host
	settings   Settings
	life       *life
	executions []execution.Execution
	totals     account.Account
}

// New returns an endpoint that plays the given host; an empty address stands for 127.0.0.1:0.
func New(played host.Host, options ...Option) *Responder {
	r := &Responder{
		host:        played,
		meanService: defaultService,
		coldLimit:   defaultColdLimit,
		coldFactor:  defaultColdFactor,
		queueLimit:  defaultQueue,
		clock:       time.Now,
		reporter:    reporter.New(),
		settings:    Settings{SlowFactor: 1},
	}
	for _, option := range options {
		option(r)
	}
	if r.host.Slots <= 0 {
		r.host.Slots = defaultSlots
	}
	return r
}

// Start begins to serve until the context ends; the channel reports the end.
func (r *Responder) Start(ctx context.Context) (<-chan error, error) {
	address := r.host.Address
	if address == "" {
		address = defaultAddress
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", r.host.ID)
	}
	r.gate = gatekeeper.New(listener, gatekeeper.WithLimit(r.host.Connections),
		gatekeeper.WithConnectDelay(r.connectDelay), gatekeeper.WithRecording(r.recording))
	r.pacer = pacer.New(r.ownSeed(), r.meanService, r.clock(),
		pacer.WithSpells(r.spellFactor, r.spellLength, r.spellInterval))
	r.mu.Lock()
	r.host.Address = listener.Addr().String()
	r.begin(r.coldRequests > 0 && !r.startsWarm)
	r.mu.Unlock()
	return r.serve(ctx), nil
}

// Host returns the host that the endpoint plays, with its actual address and incarnation.
func (r *Responder) Host() host.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host
}

// Settings returns the settings as they are now.
func (r *Responder) Settings() Settings {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.present()
}

// Change changes the settings; Restart and ForgetConnections act once.
func (r *Responder) Change(change func(*Settings)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := r.present()
	change(&wanted)
	r.apply(wanted)
}

// apply puts the settings in force; the caller holds the lock.
func (r *Responder) apply(wanted Settings) {
	r.gate.Mute(wanted.Silent)
	if wanted.ForgetConnections {
		r.gate.Forget()
	}
	if wanted.Restart {
		r.restart()
	} else if wanted.Cold != r.life.cold {
		r.life.turn(wanted.Cold, r.clock())
	}
	wanted.Restart = false
	wanted.ForgetConnections = false
	r.settings = wanted
	r.note()
}

// Account returns what the endpoint did and suffered so far.
func (r *Responder) Account() account.Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.totals
	total.Executions = append([]execution.Execution{}, r.executions...)
	total.ConnectionsPeak, total.ConnectionsRefused = r.gate.Counts()
	return total
}

// Received returns every byte received, when recording is on.
func (r *Responder) Received() []byte {
	return r.gate.Received()
}

func (r *Responder) serve(ctx context.Context) <-chan error {
	server := &http.Server{
		Handler:           r.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { r.stop(ctx, server) })
	go func() {
		defer stop()
		err := server.Serve(r.gate)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- errors.Wrapf(err, "endpoint %s", r.Host().ID)
	}()
	return done
}

// drainLimit bounds the time that running requests are given at a stop.
const drainLimit = 500 * time.Millisecond

// stop finishes what runs, in bounded time.
func (r *Responder) stop(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.life.end()
}

// present returns the settings with what the endpoint changed by itself; the caller holds the lock.
func (r *Responder) present() Settings {
	present := r.settings
	present.Cold = r.life.cold
	return present
}

func (r *Responder) ownSeed() uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, r.host.ID)
	return hash.Sum64() ^ r.seed
}
