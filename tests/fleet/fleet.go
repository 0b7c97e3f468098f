package fleet

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/storer"
	"poplarhook.example/tests/applier"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/process"
)

const (
	defaultEntries      = 6
	defaultStartTimeout = 20 * time.Second
	defaultStopTimeout  = 15 * time.Second
)

// PlatformName is the name of the platform stand-in's process.
const PlatformName = "platform"

var (
	// ErrUnknown is returned for the name of a process or host that is not part of the fleet.
	ErrUnknown = errors.New("not part of the fleet")
	// ErrRefused is returned when a process of the fleet answers a call with an error status.
	ErrRefused = errors.New("call refused by a process of the fleet")
)

// Fleet is a running deployment.
type Fleet struct {
	bin               string
	deployment        deployment.Deployment
	entryCount        int
	policy            string
	logFolder         string
	ownsLogFolder     bool
	entryArguments    []string
	endpointArguments []string
	processPerZone    bool
	regionDelay       time.Duration
	startTimeout      time.Duration
	stopTimeout       time.Duration
	clock             func() time.Time

	platformAddress          string
	relaysControlAddress     string
	hostListAddresses        map[string]string
	controlAddresses         []string
	controlAddressByEndpoint map[string]string
	tokens                   map[string]string
	store                    *storer.Storer
	applier                  *applier.Applier

	mu        sync.Mutex
	entries   []host.Host
	endpoints []host.Host
	processes []*process.Process
}

// Option configures a fleet before it starts.
type Option func(*Fleet)

// WithEntries sets the number of entry hosts; the default is 6.
func WithEntries(count int) Option {
	return func(f *Fleet) { f.entryCount = count }
}

// WithPolicy sets how entry hosts choose endpoints: owner, two_choices or random.
func WithPolicy(policy string) Option {
	return func(f *Fleet) { f.policy = policy }
}

// WithLogFolder sets the folder for the output of all processes; the default is a temporary folder that is removed
// after a stop without error.
func WithLogFolder(folder string) Option {
	return func(f *Fleet) { f.logFolder = folder }
}

// WithEntryArguments adds arguments to the command line of each entry host.
func WithEntryArguments(arguments ...string) Option {
	return func(f *Fleet) { f.entryArguments = append(f.entryArguments, arguments...) }
}

// WithEndpointArguments adds arguments to the command line of each endpoint stand-in.
func WithEndpointArguments(arguments ...string) Option {
	return func(f *Fleet) { f.endpointArguments = append(f.endpointArguments, arguments...) }
}

// WithEndpointProcessPerZone runs the endpoint stand-ins of each availability zone in a separate process.
func WithEndpointProcessPerZone() Option {
	return func(f *Fleet) { f.processPerZone = true }
}

// WithStartTimeout limits the time of the start; the default is 20 s.
func WithStartTimeout(timeout time.Duration) Option {
	return func(f *Fleet) { f.startTimeout = timeout }
}

// WithStopTimeout limits the time of the graceful stop of each process; the default is 15 s.
func WithStopTimeout(timeout time.Duration) Option {
	return func(f *Fleet) { f.stopTimeout = timeout }
}

// Start starts the deployment with the programs in the folder bin, applies its configuration and waits until every
// entry host is ready. If it returns an error, it has ended all processes.
func Start(ctx context.Context, bin string, d deployment.Deployment, options ...Option) (*Fleet, error) {
	f := &Fleet{
		bin:                      bin,
		deployment:               d,
		entryCount:               defaultEntries,
		startTimeout:             defaultStartTimeout,
		stopTimeout:              defaultStopTimeout,
		clock:                    time.Now,
		controlAddressByEndpoint: make(map[string]string),
	}
	for _, option := range options {
		option(f)
	}
	f.generateTokens()
	if err := f.createLogFolder(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.startTimeout)
	defer cancel()
	if err := f.startAll(ctx); err != nil {
		f.killAll()
		return nil, errors.Wrapf(err, "starting the fleet (logs in %s)", f.logFolder)
	}
	return f, nil
}

// EntryAddresses returns the addresses at which callers reach the entry hosts.
func (f *Fleet) EntryAddresses() []string {
	var addresses []string
	for _, entry := range f.Entries() {
		addresses = append(addresses, entry.Address)
	}
	return addresses
}

// Entries returns the entry hosts with their addresses.
func (f *Fleet) Entries() []host.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]host.Host(nil), f.entries...)
}

// Endpoints returns the endpoints with their addresses.
func (f *Fleet) Endpoints() []host.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]host.Host(nil), f.endpoints...)
}

// Deployment returns the deployment that the fleet runs.
func (f *Fleet) Deployment() deployment.Deployment {
	return f.deployment
}

// LogFolder returns the folder with the output of every process.
func (f *Fleet) LogFolder() string {
	return f.logFolder
}

// PlatformURL returns the base URL of the platform stand-in, which is also the base URL of the store.
func (f *Fleet) PlatformURL() string {
	return "http://" + f.platformAddress
}

// HostListURL returns the URL of the platform's host list.
func (f *Fleet) HostListURL() string {
	return f.PlatformURL() + "/v1/hosts"
}

// ControlAddresses returns the addresses of the control APIs of the endpoint stand-ins' processes.
func (f *Fleet) ControlAddresses() []string {
	return append([]string(nil), f.controlAddresses...)
}

// Applier returns the applier that writes configurations directly to the fleet's store.
func (f *Fleet) Applier() *applier.Applier {
	return f.applier
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startRegionRelays(ctx); err != nil {
		return err
	}
	if err := f.startEndpoints(ctx); err != nil {
		return err
	}
	if err := f.startEntries(ctx); err != nil {
		return err
	}
	if err := f.applyConfiguration(ctx); err != nil {
		return errors.Wrap(err, "applying the configuration")
	}
	return f.WaitReady(ctx)
}

// applyConfiguration applies the deployment's configuration with poplarctl or, if there is no entry host, writes it
// directly to the store.
func (f *Fleet) applyConfiguration(ctx context.Context) error {
	if f.entryCount > 0 {
		return f.Apply(ctx, f.deployment.Document)
	}
	_, err := f.applier.Apply(ctx, f.deployment.Document)
	return err
}

func (f *Fleet) createLogFolder() error {
	if f.logFolder != "" {
		return errors.Wrap(os.MkdirAll(f.logFolder, 0o700), "log folder")
	}
	folder, err := os.MkdirTemp("", "poplarhook-fleet-")
	f.logFolder = folder
	f.ownsLogFolder = true
	return errors.Wrap(err, "log folder")
}
