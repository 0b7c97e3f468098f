package cmd

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"poplarhook.example/poplarhook/modules/settings"
)

func newServe(out io.Writer) (subcommand, error) {
	parsed := flaggy.NewSubcommand("serve")
	parsed.Description = "answer callers until a planned stop (SIGTERM or SIGINT)"
	s, err := settings.FromEnvironment()
	if err != nil {
		return subcommand{}, err
	}
	complete, err := s.AddFlags(parsed)
	if err != nil {
		return subcommand{}, err
	}
	return subcommand{command: parsed, run: func() error {
		complete()
		if err := s.Check(); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		return serve(ctx, s, out)
	}}, nil
}
