package cmd

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"poplarhook.example/poplarhook/modules/settings"
)

func newSettings(out io.Writer) subcommand {
	parsed := flaggy.NewSubcommand("settings")
	parsed.Description = "list every setting with its flag, variable, default and unit"
	return subcommand{command: parsed, run: func() error {
		for _, s := range settings.List() {
			if _, err := fmt.Fprintf(out, "--%-22s %-34s %-12s %-16s %s\n", s.Flag, s.Variable, s.Default, s.Unit, s.Help); err != nil {
				return err
			}
		}
		return nil
	}}
}
