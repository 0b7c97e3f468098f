package cmd

import (
	"io"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// ErrNoCommand says that the command line names no subcommand.
var ErrNoCommand = errors.New("a subcommand is required: serve, settings or version")

// Version is the release of the program.
const Version = "0.1.0"

// subcommand is one entry of the command line.
type subcommand struct {
	parsed *flaggy.Subcommand
	run    func() error
}

// Execute runs the subcommand that the arguments name.
func Execute(arguments []string, out io.Writer) error {
	parser := flaggy.NewParser("poplarhook")
	parser.Description = "the entry process of a load balancer for servers whose load shifts in milliseconds"
	parser.Version = Version
	serve, err := newServe(out)
	if err != nil {
		return err
	}
	commands := []subcommand{serve, newGateway(out), newSettings(out), newVersion(out)}
	for _, c := range commands {
		parser.AttachSubcommand(c.parsed, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return errors.Wrap(err, "command line")
	}
	for _, c := range commands {
		if c.parsed.Used {
			return c.run()
		}
	}
	return ErrNoCommand
}
