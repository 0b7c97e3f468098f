package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Server serves HTTP on one listener and shuts down gracefully.
type Server struct {
	http       *http.Server
	drainLimit time.Duration
	// drain ends the connections before the shutdown.
	drain func(ctx context.Context) error
}

// Option configures a Server.
type Option func(*Server)

// WithReadTimeout limits the time that a client may take to send a request.
func WithReadTimeout(timeout time.Duration) Option {
	return func(s *Server) {
		s.http.ReadTimeout = timeout
		s.http.ReadHeaderTimeout = timeout
	}
}

// WithIdleTimeout limits the time that a connection may be idle.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.http.IdleTimeout = timeout }
}

// WithMaxHeader limits the size of the header section of a request in bytes.
func WithMaxHeader(bytes int) Option {
	return func(s *Server) { s.http.MaxHeaderBytes = bytes }
}

// WithConnContext sets the function that extends the context of the requests of each connection.
func WithConnContext(extend func(ctx context.Context, c net.Conn) context.Context) Option {
	return func(s *Server) { s.http.ConnContext = extend }
}

// WithDrainLimit limits the time that a shutdown waits for running requests.
func WithDrainLimit(limit time.Duration) Option {
	return func(s *Server) { s.drainLimit = limit }
}

// WithDrain sets a function that stops accepting connections and returns once all are closed. It replaces the shutdown of
// net/http, which drops requests that were read behind the one in progress.
func WithDrain(drain func(ctx context.Context) error) Option {
	return func(s *Server) { s.drain = drain }
}

const defaultDrainLimit = 30 * time.Second

// New returns a Server that serves requests with the handler.
func New(handler http.Handler, options ...Option) *Server {
	s := &Server{
		http:       &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute},
		drainLimit: defaultDrainLimit,
		drain:      func(context.Context) error { return nil },
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Run serves the listener until the context ends and then waits for running requests; the channel receives the result.
func (s *Server) Run(ctx context.Context, listener net.Listener) <-chan error {
	served := make(chan error, 1)
	done := make(chan error, 1)
	go func() { served <- s.http.Serve(listener) }()
	go func() { done <- s.waitAndShutDown(ctx, served) }()
	return done
}

func (s *Server) waitAndShutDown(ctx context.Context, served <-chan error) error {
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.drainLimit)
	defer cancel()
	// If connections are left at the limit, the shutdown reports it.
	_ = s.drain(drainCtx)
	if err := s.http.Shutdown(drainCtx); err != nil {
		_ = s.http.Close()
		return errors.Wrap(err, "requests were still running at the end of the drain limit")
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
