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
	"poplarhook.example/standin/acceptor"
	"poplarhook.example/standin/account"
	"poplarhook.example/standin/execution"
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

// Responder simulates one endpoint that serves requests at its own address.
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
	acceptor *acceptor.Acceptor

	mu          sync.Mutex
	host        host.Host
	settings    Settings
	incarnation *incarnation
	executions  []execution.Execution
	totals      account.Account
}

// New returns an endpoint that simulates the given host; an empty address stands for 127.0.0.1:0.
func New(simulated host.Host, options ...Option) *Responder {
	r := &Responder{
		host:        simulated,
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

// Start serves requests until the context ends; the channel then receives the final error, or nil.
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
	r.acceptor = acceptor.New(listener, acceptor.WithLimit(r.host.Connections),
		acceptor.WithConnectDelay(r.connectDelay), acceptor.WithRecording(r.recording))
	r.pacer = pacer.New(r.endpointSeed(), r.meanService, r.clock(),
		pacer.WithSpells(r.spellFactor, r.spellLength, r.spellInterval))
	r.mu.Lock()
	r.host.Address = listener.Addr().String()
	r.startIncarnation(r.coldRequests > 0 && !r.startsWarm)
	r.mu.Unlock()
	return r.serve(ctx), nil
}

// Host returns the host that the endpoint simulates, with its actual address and incarnation.
func (r *Responder) Host() host.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host
}

// Settings returns the current settings.
func (r *Responder) Settings() Settings {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.currentSettings()
}

// Change changes the settings; Restart and ForgetConnections act once and are then false again.
func (r *Responder) Change(change func(*Settings)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	updated := r.currentSettings()
	change(&updated)
	r.applySettings(updated)
}

// applySettings applies the settings; the caller holds the lock.
func (r *Responder) applySettings(updated Settings) {
	r.acceptor.SetMuted(updated.Silent)
	if updated.ForgetConnections {
		r.acceptor.SilenceAll()
	}
	if updated.Restart {
		r.restart()
	} else if updated.Cold != r.incarnation.cold {
		r.incarnation.setCold(updated.Cold, r.clock())
	}
	updated.Restart = false
	updated.ForgetConnections = false
	r.settings = updated
	r.recordLoad()
}

// Account returns the executions and counters of the endpoint so far.
func (r *Responder) Account() account.Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := r.totals
	total.Executions = append([]execution.Execution{}, r.executions...)
	total.ConnectionsPeak, total.ConnectionsRefused = r.acceptor.Counts()
	return total
}

// Received returns every byte that the endpoint has received, or none if recording is off.
func (r *Responder) Received() []byte {
	return r.acceptor.Received()
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
		err := server.Serve(r.acceptor)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- errors.Wrapf(err, "endpoint %s", r.Host().ID)
	}()
	return done
}

// drainTimeout limits the time that running requests have to finish when the endpoint stops.
const drainTimeout = 500 * time.Millisecond

// stop waits until running requests have finished, at most for drainTimeout, and ends the incarnation.
func (r *Responder) stop(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation.end()
}

// currentSettings returns the settings; Cold is the current state of the incarnation, which the endpoint also changes
// without a call of Change or Control. The caller holds the lock.
func (r *Responder) currentSettings() Settings {
	current := r.settings
	current.Cold = r.incarnation.cold
	return current
}

func (r *Responder) endpointSeed() uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, r.host.ID)
	return hash.Sum64() ^ r.seed
}
