package cmd

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"poplarhook.example/lib/deployment"
	"poplarhook.example/lib/pauser"
	"poplarhook.example/platform/client"
	"poplarhook.example/platform/decoder"
	"poplarhook.example/platform/dialect"
	"poplarhook.example/platform/feed"
	"poplarhook.example/poplarhook/modules/linewriter"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/modules/settings"
	"poplarhook.example/poplarhook/services/gateway"
	"poplarhook.example/poplarhook/services/rolloutdecider"
	"poplarhook.example/poplarhook/services/supplier"
)

// newGateway returns the subcommand that serves callers on a platform that provides endpoints and configuration.
func newGateway(out io.Writer) subcommand {
	parsed := flaggy.NewSubcommand("gateway")
	parsed.Description = "answer callers on a platform that gives endpoints and configuration"
	path := os.Getenv(settings.FileVariable)
	parsed.String(&path, "", "settings", "file of settings in JSON (environment: "+settings.FileVariable+")")
	return subcommand{command: parsed, run: func() error {
		// SIGHUP terminates a process that has no handler for it, so the handler is registered first.
		reloads := make(chan os.Signal, 1)
		signal.Notify(reloads, syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		d, err := deployment.Read(path)
		if err != nil {
			// The platform restarts the process immediately; without a pause, invalid settings would cause a busy loop.
			_ = pauser.Pause(ctx, pauseBeforeExit)
			return err
		}
		return runGateway(ctx, path, d, reloads, out)
	}}
}

// pauseBeforeExit is how long a process with invalid settings waits before it exits; it limits restarts to about ten a
// minute.
const pauseBeforeExit = 5 * time.Second

// gcPercent is the heap growth in percent that starts a garbage collection. It is low because memory costs more than
// processor time.
const gcPercent = 40

// runGateway serves until the context ends; log lines are still written until the gateway has stopped.
func runGateway(ctx context.Context, path string, d deployment.Deployment, reloads <-chan os.Signal, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	if limit := d.RuntimeMemory(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	lines := linewriter.New(out, time.Now)
	writerCtx, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	written := lines.Run(writerCtx)
	logger := newLineLogger(lines).With(zap.String("self", d.HostID))
	err := serveGateway(ctx, path, d, reloads, logger)
	if err != nil {
		logger.Error("gateway failed", zap.String("error", err.Error()))
	}
	stopWriting()
	return firstError(err, <-written)
}

// firstError returns the first error that is not nil, or nil if there is none.
func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

func serveGateway(ctx context.Context, path string, d deployment.Deployment, reloads <-chan os.Signal, logger *zap.Logger) error {
	listeners, err := listenAll(ctx, d)
	if err != nil {
		return err
	}
	logger.Info("starting", zap.String("listen", d.Listen), zap.String("region", d.Region), zap.String("availability_zone", d.AvailabilityZone))
	m := meter.New("poplarhook")
	g := gateway.New(ctx, d, listeners, newPlatform(d, logger, m.Count), m, logger, time.Now)
	reloadCtx, stopReloads := context.WithCancel(context.WithoutCancel(ctx))
	reloaded := reloadOnSignal(reloadCtx, path, g, reloads, logger)
	err = errors.Wrap(<-g.Run(ctx), "gateway")
	stopReloads()
	return firstError(err, <-reloaded)
}

func listenAll(ctx context.Context, d deployment.Deployment) (gateway.Listeners, error) {
	var l gateway.Listeners
	targets := []struct {
		setting, address string
		listener         *net.Listener
	}{
		{"listen", d.Listen, &l.Callers},
		{"ready_listen", d.ReadyListen, &l.Ready},
		{"peer_listen", d.PeerListen, &l.Peers},
		{"admin_ports", d.AdminAddress(), &l.Admin},
	}
	for _, t := range targets {
		var err error
		if *t.listener, err = listenOn(ctx, t.setting, t.address); err != nil {
			return gateway.Listeners{}, err
		}
	}
	return l, nil
}

// reloadOnSignal reads the settings file again at each signal until the context ends; it ignores an invalid file.
func reloadOnSignal(ctx context.Context, path string, g *gateway.Gateway, signals <-chan os.Signal, logger *zap.Logger) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-signals:
			}
			d, err := deployment.Read(path)
			if err != nil {
				logger.Error("new settings are invalid, keeping the previous settings", zap.String("error", err.Error()))
				continue
			}
			g.SetDeployment(d)
			logger.Info("settings read again")
		}
	}()
	return done
}

// newPlatform returns the client side of the platform that the deployment names.
func newPlatform(d deployment.Deployment, logger *zap.Logger, count func(event string)) gateway.Platform {
	logSkipped := func(name string, err error) {
		logger.Warn("skipping invalid object of the store", zap.String("object", shorten(name)), zap.String("error", shorten(err.Error())))
	}
	c := client.New(d.StoreAddress, client.WithCounter(count), client.WithUnreadable(func(kind string, objects int) {
		logger.Warn("skipping objects of the store without a readable name", zap.String("kind", kind), zap.Int("objects", objects))
	}))
	decode := decoder.New(d.RegionOf)
	return gateway.Platform{
		Dialect: dialect.New(),
		Store: supplier.Store{
			Configurations: feed.Configurations(c, decode, logSkipped),
			Endpoints:      feed.Endpoints(c, decode, time.Now, logSkipped),
			ZonesOut:       feed.ZonesOut(c),
			Members:        feed.Members(c, logSkipped),
			Register:       feed.Register(c),
			Orders:         feed.Orders(c, decode, logSkipped),
			RolloutStates:  feed.RolloutStates(c, logSkipped),
			HistoryGone:    feed.ErrHistoryGone,
			IsRestored:     feed.IsRestored,
		},
		Rollouts: rolloutdecider.Store{
			WriteState:  feed.WriteRolloutState(c),
			WriteStatus: feed.WriteOrderStatus(c),
			Conflict:    feed.ErrConflict,
		},
	}
}

// maxLoggedBytes bounds what a log line contains of an object of the store, which may have a megabyte.
const maxLoggedBytes = 300

// shorten returns the start of a text that another writer may have written.
func shorten(text string) string {
	if len(text) <= maxLoggedBytes {
		return text
	}
	return text[:maxLoggedBytes] + " ..."
}

// newLineLogger returns a logger that writes one JSON object per line.
func newLineLogger(out zapcore.WriteSyncer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), out, zap.InfoLevel))
}
