package cmd

import (
	"context"
	"io"
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
	"poplarhook.example/platform/client"
	"poplarhook.example/platform/decoder"
	"poplarhook.example/platform/dialect"
	"poplarhook.example/platform/feed"
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
		d, err := deployment.Read(path)
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return runGateway(ctx, d, out)
	}}
}

// collectAt is the growth of the heap in percent at which garbage is collected: memory is dearer than processor time.
const collectAt = 40

func runGateway(ctx context.Context, d deployment.Deployment, out io.Writer) error {
	debug.SetGCPercent(collectAt)
	logger := newLineLogger(out).With(zap.String("self", d.HostID))
	var listeners gateway.Listeners
	var err error
	if listeners.Callers, err = listenOn(ctx, "listen", d.Listen); err != nil {
		return err
	}
	if listeners.Ready, err = listenOn(ctx, "ready_listen", d.ReadyListen); err != nil {
		return err
	}
	if listeners.Peers, err = listenOn(ctx, "peer_ports", d.PeerAddress()); err != nil {
		return err
	}
	if listeners.Admin, err = listenOn(ctx, "peer_ports", d.AdminAddress()); err != nil {
		return err
	}
	logger.Info("starting", zap.String("listen", d.Listen), zap.String("region", d.Region), zap.String("availability_zone", d.AvailabilityZone))
	m := meter.New("poplarhook")
	g := gateway.New(ctx, d, listeners, newPlatform(d, logger, m.Count), m, logger, time.Now)
	return errors.Wrap(<-g.Run(ctx), "gateway")
}

// newPlatform returns the platform of the deployment.
func newPlatform(d deployment.Deployment, logger *zap.Logger, count func(event string)) gateway.Platform {
	skipped := func(name string, err error) {
		logger.Warn("object of the store is left out", zap.String("object", name), zap.Error(err))
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
func newLineLogger(out io.Writer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(out), zap.InfoLevel))
}
