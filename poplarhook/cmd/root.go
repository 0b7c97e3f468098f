package cmd

import (
	"io"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// ErrNoCommand is the error of a command line without a subcommand.
var ErrNoCommand = errors.New("a subcommand is required: serve, gateway, settings or version")

// Version is the version of the program.
const Version = "0.1.0"

// subcommand is a parsed subcommand and the function that runs it.
type subcommand struct {
	command *flaggy.Subcommand
	run     func() error
}

// Execute parses the arguments and runs the subcommand that they name.
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
		parser.AttachSubcommand(c.command, 1)
	}
	if err := parser.ParseArgs(arguments); err != nil {
		return errors.Wrap(err, "command line")
	}
	for _, c := range commands {
		if c.command.Used {
			return c.run()
		}
	}
	return ErrNoCommand
}
