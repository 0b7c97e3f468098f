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
	"poplarhook.example/poplarhook/services/supplier"
)

// newGateway serves on a platform that gives endpoints and configuration.
func newGateway(out io.Writer) subcommand {
	parsed := flaggy.NewSubcommand("gateway")
	parsed.Description = "answer callers on a platform that gives endpoints and configuration"
	path := os.Getenv(settings.FileVariable)
	parsed.String(&path, "", "settings", "file of settings in JSON (environment: "+settings.FileVariable+")")
	return subcommand{parsed: parsed, run: func() error {
		// Before anything else: the signal ends a process that does not expect it.
		reloads := make(chan os.Signal, 1)
		signal.Notify(reloads, syscall.SIGHUP)
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		d, err := deployment.Read(path)
		if err != nil {
			// The platform starts the process again at once; without a pause bad settings would make a busy loop.
			_ = pauser.Pause(ctx, pauseBeforeExit)
			return err
		}
		return runGateway(ctx, path, d, reloads, out)
	}}
}

// pauseBeforeExit is how long a process with bad settings stays, so that it starts no more than some ten times a minute.
const pauseBeforeExit = 5 * time.Second

// collectAt is the growth of the heap in percent at which garbage is collected: memory is dearer than processor time.
const collectAt = 40

// runGateway serves until the context ends; log lines are written to the end of the stop.
func runGateway(ctx context.Context, path string, d deployment.Deployment, reloads <-chan os.Signal, out io.Writer) error {
	debug.SetGCPercent(collectAt)
	lines := linewriter.New(out, time.Now)
	writing, stopWriting := context.WithCancel(context.WithoutCancel(ctx))
	written := lines.Run(writing)
	logger := newLineLogger(lines).With(zap.String("self", d.HostID))
	err := serveGateway(ctx, path, d, reloads, logger)
	if err != nil {
		logger.Error("gateway failed", zap.String("error", err.Error()))
	}
	stopWriting()
	return firstError(err, <-written)
}

// firstError returns the first of the errors that is one, nil without any.
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
	running, stopReloads := context.WithCancel(context.WithoutCancel(ctx))
	reloaded := reload(running, path, g, reloads, logger)
	err = errors.Wrap(<-g.Run(ctx), "gateway")
	stopReloads()
	return firstError(err, <-reloaded)
}

func listenAll(ctx context.Context, d deployment.Deployment) (gateway.Listeners, error) {
	var l gateway.Listeners
	places := []struct {
		setting, address string
		listener         *net.Listener
	}{
		{"listen", d.Listen, &l.Callers},
		{"ready_listen", d.ReadyListen, &l.Ready},
		{"peer_listen", d.PeerListen, &l.Peers},
		{"admin_ports", d.AdminAddress(), &l.Admin},
	}
	for _, p := range places {
		var err error
		if *p.listener, err = listenOn(ctx, p.setting, p.address); err != nil {
			return gateway.Listeners{}, err
		}
	}
	return l, nil
}

// reload reads the settings again at each signal until the context ends; settings that are not allowed change nothing.
func reload(ctx context.Context, path string, g *gateway.Gateway, signals <-chan os.Signal, logger *zap.Logger) <-chan error {
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
				logger.Error("settings are not allowed, the old ones hold", zap.String("error", err.Error()))
				continue
			}
			g.SetDeployment(d)
			logger.Info("settings read again")
		}
	}()
	return done
}

// newPlatform returns the platform of the deployment.
func newPlatform(d deployment.Deployment, logger *zap.Logger, count func(event string)) gateway.Platform {
	skipped := func(name string, err error) {
		logger.Warn("object of the store is left out", zap.String("object", name), zap.String("error", err.Error()))
	}
	c := client.New(d.StoreAddress, client.WithCounter(count))
	decode := decoder.New(d.RegionOf)
	return gateway.Platform{
		Dialect: dialect.New(),
		Store: supplier.Store{
			Configurations: feed.Configurations(c, decode, skipped),
			Endpoints:      feed.Endpoints(c, decode, time.Now, skipped),
			ZonesOut:       feed.ZonesOut(c),
			Members:        feed.Members(c, skipped),
			Register:       feed.Register(c),
			Forgotten:      feed.ErrForgotten,
		},
	}
}

// newLineLogger returns a logger of JSON lines.
func newLineLogger(out zapcore.WriteSyncer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), out, zap.InfoLevel))
}
