package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/lister"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/storer"
	"poplarhook.example/poplarhook/modules/meter"
	"poplarhook.example/poplarhook/modules/server"
	"poplarhook.example/poplarhook/modules/settings"
	"poplarhook.example/poplarhook/routers/caller"
	"poplarhook.example/poplarhook/services/chooser"
	"poplarhook.example/poplarhook/services/dispatcher"
	"poplarhook.example/poplarhook/services/locator"
	"poplarhook.example/poplarhook/services/refresher"
	"poplarhook.example/poplarhook/services/sender"
)

// listening is the line that the process prints when it answers.
type listening struct {
	Event        string `json:"event"`
	HostID       string `json:"host_id"`
	Address      string `json:"address"`
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
}

func serve(ctx context.Context, s settings.Settings, out io.Writer) error {
	logger, err := newLogger(s)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	m := meter.New("poplarhook")
	defer func() { _ = m.Close() }()

	places := locator.New(s.Region)
	hosts := refresher.New(lister.New(s.HostListURL), places.SetDirectory, refresher.WithWait(s.WatchWait), refresher.WithLogger(logger))
	hostsDone := hosts.Run(ctx)
	configDone := followConfig(ctx, storer.New(s.StoreURL), places)
	send := sender.New(sender.WithAges(s.ProofAge, s.ReuseAge))
	bind := chooser.New(places)
	dispatch := dispatcher.New(bind, send, places, dispatcher.WithCounter(m.Count))
	handler := caller.New(places.Classifier, dispatch, caller.WithMaxBody(s.MaxBody), caller.WithCounter(m.CountRequest))

	callers, err := listenOn(ctx, "listen", s.Listen)
	if err != nil {
		return err
	}
	admin, err := listenOn(ctx, "admin-listen", s.AdminListen)
	if err != nil {
		return err
	}
	callersDone := server.New(handler, server.WithMaxHeader(s.MaxHeader), server.WithReadTimeout(s.ReadTimeout), server.WithIdleTimeout(s.IdleTimeout), server.WithDrainLimit(s.DrainLimit)).Run(ctx, callers)
	router := mux.NewRouter()
	router.Handle("/metrics", m.Handler())
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if _, ok := places.Snapshot(); !ok || len(places.Directory().Groups()) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	adminDone := server.New(router).Run(ctx, admin)
	if err := json.NewEncoder(out).Encode(listening{
		Event: "listening", HostID: s.HostID, Address: callers.Addr().String(), AdminAddress: admin.Addr().String(),
	}); err != nil {
		return err
	}
	<-ctx.Done()
	for _, done := range []<-chan error{callersDone, adminDone, hostsDone, configDone} {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
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
	return logger.With(zap.String("host_id", s.HostID)), nil
}

func followConfig(ctx context.Context, store *storer.Storer, places *locator.Locator) <-chan error {
	done := make(chan error, 1)
	go func() {
		var version int64
		for ctx.Err() == nil {
			o, err := store.Watch(ctx, index.Key, version, time.Second)
			if err == nil {
				version = o.Version
				apply(ctx, store, o.Value, places)
			}
		}
		done <- nil
	}()
	return done
}

func apply(ctx context.Context, store *storer.Storer, value []byte, places *locator.Locator) {
	var i index.Index
	if json.Unmarshal(value, &i) != nil {
		return
	}
	s := snapshot.Snapshot{Revision: i.Revision, ChangeID: i.ChangeID, ZonesOut: i.ZonesOut}
	for _, entry := range i.Documents {
		o, err := store.Get(ctx, entry.Key)
		var d document.Document
		if err != nil || json.Unmarshal(o.Value, &d) != nil {
			return
		}
		s.Documents = append(s.Documents, d)
	}
	places.SetSnapshot(s)
}

func listenOn(ctx context.Context, setting, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "%s %s", setting, address)
}
