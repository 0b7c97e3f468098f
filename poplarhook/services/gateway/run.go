package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/modules/server"
	"poplarhook.example/poplarhook/services/inspector"
	"poplarhook.example/poplarhook/services/subscriber"
)

const (
	// drainNotice is how long a host that stops still takes new connections: the balancer asks once a second and
	// believes the second miss.
	drainNotice = 2500 * time.Millisecond
	// stopReserve is how long before the kill a stop ends.
	stopReserve = 300 * time.Millisecond
	// idleTimeout is how long callers' connections may be idle; those of the platform's callers use fewer.
	idleTimeout = time.Minute
)

// Run answers until the context ends and the running requests are done; the channel gives the end.
func (g *Gateway) Run(ctx context.Context) <-chan error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	supply, stopSupply := context.WithCancel(background)
	ends := []<-chan error{
		g.supplier.Run(supply),
		server.New(g.newPeers()).Run(background, g.listeners.Peers),
		server.New(http.HandlerFunc(g.serveReady)).Run(background, g.listeners.Ready),
		server.New(g.newAdmin()).Run(background, g.listeners.Admin),
	}
	stopTime := g.deployment.Load().Bounds.Stop()
	notice := min(drainNotice, stopTime/2)
	limit := max(stopTime-notice-stopReserve, stopReserve)
	callers, stopCallers := context.WithCancel(background)
	answered := server.New(screener.Judge(g.closing(g.callers)),
		server.WithIdleTimeout(idleTimeout),
		server.WithConnContext(screener.ConnContext),
		server.WithDrainLimit(limit)).Run(callers, screener.New(g.listeners.Callers))
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		g.draining.Store(true)
		g.logger.Info("stopping: no longer ready", zap.Duration("notice", notice), zap.Duration("limit", limit))
		_ = pauser.Pause(background, notice)
		stopCallers()
		err := <-answered
		stopSupply()
		stop()
		for _, end := range ends {
			if ended := <-end; err == nil {
				err = ended
			}
		}
		g.logger.Info("stopped", zap.Bool("whole", err == nil))
		_ = g.meter.Close()
		done <- err
	}()
	return done
}

// closing asks callers to close their connections while the host stops.
func (g *Gateway) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// newAdmin serves the metrics and the dump.
func (g *Gateway) newAdmin() http.Handler {
	router := mux.NewRouter()
	router.Handle("/metrics", g.meter.Handler()).Methods(http.MethodGet)
	router.HandleFunc(DumpPath, g.serveDump).Methods(http.MethodGet)
	router.HandleFunc(statePath, g.serveDump).Methods(http.MethodGet)
	router.HandleFunc("/v1/status", g.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/v1/config", g.serveConfiguration).Methods(http.MethodGet)
	router.HandleFunc("/v1/changes", g.serveChanges).Methods(http.MethodGet)
	return router
}

// newPeers serves other entry hosts.
func (g *Gateway) newPeers() http.Handler {
	router := mux.NewRouter()
	router.Handle(subscriber.Path, g.supplier.Broadcaster()).Methods(http.MethodGet)
	router.HandleFunc(subscriber.KnownPath, g.supplier.Broadcaster().ServeKnown).Methods(http.MethodGet)
	router.HandleFunc(inspector.Path, g.serveRunning).Methods(http.MethodGet)
	return router
}
