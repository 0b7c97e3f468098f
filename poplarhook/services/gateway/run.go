package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"poplarhook.example/lib/pauser"
	"poplarhook.example/poplarhook/models/stopper"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/modules/server"
	"poplarhook.example/poplarhook/services/inspector"
	"poplarhook.example/poplarhook/services/rolloutreporter"
	"poplarhook.example/poplarhook/services/subscriber"
)

const (
	// drainNotice is how long a stopping host still accepts new connections: the balancer in front of it checks readiness
	// once per second and reacts to the second failed check.
	drainNotice = 2500 * time.Millisecond
	// stopReserve is how long before the process would be killed a stop must have ended.
	stopReserve = 300 * time.Millisecond
	// idleTimeout is how long callers' connections may be idle; those of the platform's callers are idle for
	// shorter times.
	idleTimeout = time.Minute
)

// Run serves requests until the context ends and the running requests are done. The returned channel then gets the
// error, if any.
func (g *Gateway) Run(ctx context.Context) <-chan error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	supplierContext, stopSupplier := context.WithCancel(background)
	servicesDone := []<-chan error{
		g.supplier.Run(supplierContext),
		g.quotas.Run(background),
		server.New(g.newPeers()).Run(background, g.listeners.Peers),
		server.New(http.HandlerFunc(g.serveReady)).Run(background, g.listeners.Ready),
		server.New(g.newAdmin()).Run(background, g.listeners.Admin),
	}
	servicesDone = append(servicesDone, g.rollouts.run(supplierContext)...)
	stopTime := g.deployment.Load().Bounds.StopTimeout()
	notice := min(drainNotice, stopTime/2)
	limit := max(stopTime-notice-stopReserve, stopReserve)
	callersContext, stopCallers := context.WithCancel(background)
	callers := g.newScreener(g.listeners.Callers)
	callersDone := server.New(screener.MarkAmbiguous(g.closeWhileDraining(g.callers)),
		server.WithIdleTimeout(idleTimeout),
		server.WithConnContext(screener.ConnContext),
		server.WithDrain(callers.Drain),
		server.WithDrainLimit(limit)).Run(callersContext, callers)
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		g.draining.Store(true)
		now := g.clock()
		// A connection that has just been accepted may complete its first request within HeadGrace after the notice.
		g.offers.Stop(now, stopper.New(now.Add(notice+screener.HeadGrace), now.Add(notice+limit)))
		g.logger.Info("stopping: no longer ready", zap.Duration("notice", notice), zap.Duration("limit", limit))
		_ = pauser.Pause(background, notice)
		stopCallers()
		err := <-callersDone
		stopSupplier()
		stop()
		for _, end := range servicesDone {
			if serviceErr := <-end; err == nil {
				err = serviceErr
			}
		}
		g.logger.Info("stopped", zap.Bool("whole", err == nil))
		_ = g.meter.Close()
		done <- err
	}()
	return done
}

// closeWhileDraining makes callers close their connections while the host stops, each with the response to the last
// request that was read from it.
func (g *Gateway) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w = screener.CloseLast(w, r)
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

// newAdmin returns the handler for operators: metrics, dump, status, configurations and changes.
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

// newPeers returns the handler for other entry hosts.
func (g *Gateway) newPeers() http.Handler {
	router := mux.NewRouter()
	g.handleQuotas(router)
	router.Handle(subscriber.StreamPath, g.supplier.Broadcaster()).Methods(http.MethodGet)
	router.HandleFunc(subscriber.FullViewPath, g.supplier.Broadcaster().ServeFullView).Methods(http.MethodGet)
	router.HandleFunc(inspector.Path, g.serveHostStatus).Methods(http.MethodGet)
	if g.rollouts != nil {
		router.Handle(rolloutreporter.Path, g.rollouts.decider).Methods(http.MethodPost)
	}
	return router
}
