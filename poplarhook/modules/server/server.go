package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Server serves one listener and stops gracefully.
type Server struct {
	http  *http.Server
	limit time.Duration
}

// Option changes how a Server is built.
type Option func(*Server)

// WithReadTimeout bounds the time a client may take to send a request.
func WithReadTimeout(timeout time.Duration) Option {
	return func(s *Server) {
		s.http.ReadTimeout = timeout
		s.http.ReadHeaderTimeout = timeout
	}
}

// WithIdleTimeout bounds the time a connection may be idle.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(s *Server) { s.http.IdleTimeout = timeout }
}

// WithMaxHeader bounds the head of a request in bytes.
func WithMaxHeader(bytes int) Option {
	return func(s *Server) { s.http.MaxHeaderBytes = bytes }
}

// WithConnContext sets what each connection adds to the context of its requests.
func WithConnContext(add func(ctx context.Context, c net.Conn) context.Context) Option {
	return func(s *Server) { s.http.ConnContext = add }
}

// WithDrainLimit bounds the time a stop waits for running requests.
func WithDrainLimit(limit time.Duration) Option {
	return func(s *Server) { s.limit = limit }
}

const defaultDrainLimit = 30 * time.Second

// New returns a Server of the handler.
func New(handler http.Handler, options ...Option) *Server {
	s := &Server{
		http:  &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute},
		limit: defaultDrainLimit,
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Run serves the listener until the context ends, then finishes what runs; the channel gives the end.
func (s *Server) Run(ctx context.Context, listener net.Listener) <-chan error {
	served := make(chan error, 1)
	done := make(chan error, 1)
	go func() { served <- s.http.Serve(listener) }()
	go func() { done <- s.wait(ctx, served) }()
	return done
}

func (s *Server) wait(ctx context.Context, served <-chan error) error {
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.limit)
	defer cancel()
	if err := s.http.Shutdown(limited); err != nil {
		_ = s.http.Close()
		return errors.Wrap(err, "requests were still running at the end of the drain limit")
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
