package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/modules/server"
)

// Reasons why a host is not ready.
var (
	errDraining        = errors.New("the host is stopping")
	errNoConfiguration = errors.New("no configuration is in force yet")
	errNoEndpoints     = errors.New("no endpoints are listed yet")
	errPeersUnknown    = errors.New("the other entry hosts have not been heard yet")
)

// Run serves until the context ends and the requests in progress are done; the channel then carries the first error of
// any component, or nil.
func (e *Entry) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	// The components that requests need are stopped only after the server for callers.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	componentsDone := []<-chan error{
		e.hostListRefresher.Run(background),
		e.links.Run(background, e.listeners.Peers),
		e.heartbeater.Run(background),
		e.coordinator.Run(background),
		e.controlLimiter.Run(background),
		e.leaseManager.Run(background),
		e.runGauges(background),
		e.prober.Run(background),
		e.relayer.Run(background),
		server.New(e.adminHandler).Run(background, e.listeners.Admin),
	}
	if e.certifier != nil {
		componentsDone = append(componentsDone, e.certifier.Run(background))
	}
	callersContext, stopCallers := context.WithCancel(background)
	s := e.settings
	callers := screener.New(e.listeners.Callers)
	callerServer := server.New(screener.MarkAmbiguous(e.closeWhileDraining(e.callerHandler)),
		server.WithMaxHeader(s.MaxHeader),
		server.WithReadTimeout(s.ReadTimeout),
		server.WithIdleTimeout(s.IdleTimeout),
		server.WithConnContext(screener.ConnContext),
		server.WithDrain(callers.Drain),
		server.WithDrainLimit(s.DrainLimit))
	callersDone := callerServer.Run(callersContext, callers)
	go func() {
		<-ctx.Done()
		e.drain()
		stopCallers()
		err := <-callersDone
		stop()
		for _, componentDone := range componentsDone {
			if componentErr := <-componentDone; err == nil {
				err = componentErr
			}
		}
		_ = e.meter.Close()
		done <- err
	}()
	return done
}

// drain reports this host as not ready, marks it as leaving so that other hosts take over its ownership, and waits
// until the platform's balancer has noticed.
//
// Idle connections stay open until then, since a request may already be on its way on each of them; responses ask
// callers to close their connections.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.logger.Info("stopping: no longer ready")
	e.heartbeater.Leave()
	time.Sleep(e.settings.DrainNotice)
}

// closeWhileDraining asks callers to close their connections while the host is stopping, each with the response to the
// last request that was read from it.
func (e *Entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w = screener.CloseLast(w, r)
		}
		next.ServeHTTP(w, r)
	})
}
