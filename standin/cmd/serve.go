package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const readHeaderTimeout = 10 * time.Second

// listen opens a TCP listener at an address such as 127.0.0.1:0.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen at %s", address)
}

// serve serves requests with the handler until the context ends; the channel receives the final error, or nil.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) <-chan error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		defer stop()
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			err = nil
		}
		done <- errors.Wrapf(err, "serve at %s", listener.Addr())
	}()
	return done
}

// printReady prints the JSON line which states that the process is ready and at which addresses it listens.
func printReady(stdout io.Writer, ready any) error {
	return errors.Wrap(json.NewEncoder(stdout).Encode(ready), "print the ready line")
}
