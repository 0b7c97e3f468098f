package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/modules/server"
)

// Reasons for a host not to be ready.
var (
	errDraining        = errors.New("the host is stopping")
	errNoConfiguration = errors.New("no configuration is in force yet")
	errNoEndpoints     = errors.New("no endpoints are listed yet")
	errAlone           = errors.New("the other entry hosts have not been heard yet")
)

// Run answers until the context ends and the running requests are done; the channel gives the end.
func (e *Entry) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	// The parts that requests need outlive the callers' side.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	ends := []<-chan error{
		e.hosts.Run(background),
		e.links.Run(background, e.listeners.Peers),
		e.heartbeats.Run(background),
		e.coordinator.Run(background),
		e.governor.Run(background),
		e.warden.Run(background),
		e.gauge(background),
		e.prober.Run(background),
		e.relayer.Run(background),
		server.New(e.admin).Run(background, e.listeners.Admin),
	}
	if e.certifier != nil {
		ends = append(ends, e.certifier.Run(background))
	}
	callers, stopCallers := context.WithCancel(background)
	s := e.settings
	callerServer := server.New(screener.Judge(e.closing(e.callers)),
		server.WithMaxHeader(s.MaxHeader),
		server.WithReadTimeout(s.ReadTimeout),
		server.WithIdleTimeout(s.IdleTimeout),
		server.WithConnContext(screener.ConnContext),
		server.WithDrainLimit(s.DrainLimit))
	answered := callerServer.Run(callers, screener.New(e.listeners.Callers))
	go func() {
		<-ctx.Done()
		e.drain()
		stopCallers()
		err := <-answered
		stop()
		for _, end := range ends {
			if ended := <-end; err == nil {
				err = ended
			}
		}
		_ = e.meter.Close()
		done <- err
	}()
	return done
}

// drain looks unready, gives ownership up and waits until the platform's balancer has noticed.
//
// Idle connections stay open until then, since a request may be on its way on
// each; answers ask their callers to close.
func (e *Entry) drain() {
	e.draining.Store(true)
	e.logger.Info("stopping: no longer ready")
	e.heartbeats.Leave()
	time.Sleep(e.settings.DrainNotice)
}

// closing asks callers to close their connections while the host stops.
func (e *Entry) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
