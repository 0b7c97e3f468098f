package cmd

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

func newVersion(out io.Writer) subcommand {
	parsed := flaggy.NewSubcommand("version")
	parsed.Description = "print the release"
	return subcommand{command: parsed, run: func() error {
		_, err := fmt.Fprintln(out, Version)
		return err
	}}
}
