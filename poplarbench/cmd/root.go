package cmd

import (
	"context"
	"io"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// ErrUsage is returned if the arguments name no subcommand.
var ErrUsage = errors.New("a subcommand is needed: run, compare or plot")

// Run parses the arguments, which exclude the program name, and runs the subcommand that they name.
func Run(ctx context.Context, args []string, out io.Writer, clock func() time.Time) error {
	parser := flaggy.NewParser("poplarbench")
	parser.Description = "open-loop load generator; latency is measured from the intended send time"
	parser.ShowVersionWithVersionFlag = false
	run := newRunCommand()
	compare := newCompareCommand()
	parser.AttachSubcommand(run.subcommand, 1)
	parser.AttachSubcommand(compare.subcommand, 1)
	plot := newPlotCommand()
	parser.AttachSubcommand(plot.subcommand, 1)
	if err := parser.ParseArgs(args); err != nil {
		return errors.Wrap(err, "reading the arguments")
	}
	switch {
	case run.subcommand.Used:
		return run.run(ctx, out, clock)
	case compare.subcommand.Used:
		return compare.run(out)
	case plot.subcommand.Used:
		return plot.run()
	default:
		return ErrUsage
	}
}
