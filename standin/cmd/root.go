package cmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// subcommand is one simulation that the program runs until the context ends.
type subcommand interface {
	flags() *flaggy.Subcommand
	run(ctx context.Context, stdout io.Writer) error
}

// Run runs the subcommand named in the arguments until SIGTERM or SIGINT arrives, and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parser := flaggy.NewParser("standin")
	parser.Description = "Simulates the platform, endpoints or slow links, for tests and demonstrations."
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	subcommands := []subcommand{newPlatformCommand(), newEndpointsCommand(), newRelayCommand(), newRelaysCommand()}
	flags := make([]*flaggy.Subcommand, len(subcommands))
	for i, s := range subcommands {
		flags[i] = s.flags()
		parser.AttachSubcommand(flags[i], 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	for i, s := range subcommands {
		if !flags[i].Used {
			continue
		}
		if err := s.run(ctx, stdout); err != nil {
			_, _ = fmt.Fprintln(stderr, err)
			return exitFailed
		}
		return exitOK
	}
	parser.ShowHelp()
	return exitUsage
}
