package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/poplarhook/modules/settings"
	"poplarhook.example/poplarhook/services/entry"
)

// listeningEvent is the JSON line that the process prints once it accepts requests.
type listeningEvent struct {
	Event        string `json:"event"`
	HostID       string `json:"host_id"`
	Address      string `json:"address"`
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
}

// serve runs an entry host until the context ends and all running requests are answered.
func serve(ctx context.Context, s settings.Settings, out io.Writer) error {
	logger, err := newLogger(s)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	callers, err := listenOn(ctx, "listen", s.Listen)
	if err != nil {
		return err
	}
	peers, err := listenOn(ctx, "peer-listen", s.PeerListen)
	if err != nil {
		return err
	}
	admin, err := listenOn(ctx, "admin-listen", s.AdminListen)
	if err != nil {
		return err
	}
	e, err := entry.New(s, entry.Listeners{Callers: callers, Peers: peers, Admin: admin}, logger, time.Now)
	if err != nil {
		return err
	}
	done := e.Run(ctx)
	if err := json.NewEncoder(out).Encode(listeningEvent{
		Event:        "listening",
		HostID:       s.HostID,
		Address:      callers.Addr().String(),
		PeerAddress:  peers.Addr().String(),
		AdminAddress: admin.Addr().String(),
	}); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	return <-done
}

func listenOn(ctx context.Context, setting, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "%s %s", setting, address)
}

func newLogger(s settings.Settings) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrapf(settings.ErrInvalid, "log-level %q", s.LogLevel)
	}
	config.Level = level
	config.Sampling = nil
	logger, err := config.Build(zap.WithCaller(false))
	if err != nil {
		return nil, errors.Wrap(err, "build log")
	}
	return logger.With(zap.String("self", s.HostID)), nil
}
