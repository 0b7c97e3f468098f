package cmd

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/plotter"
	"poplarhook.example/poplarbench/result"
)

type plotCommand struct {
	subcommand *flaggy.Subcommand
	results    []string
	output     string
}

func newPlotCommand() *plotCommand {
	c := &plotCommand{subcommand: flaggy.NewSubcommand("plot")}
	c.subcommand.Description = "plot served requests, failed requests and latency of results over time"
	c.subcommand.StringSlice(&c.results, "", "result", "result file of a run; may be repeated")
	c.subcommand.String(&c.output, "o", "output", "output file of the plot, .svg or .png")
	return c
}

func (c *plotCommand) run() error {
	format := strings.TrimPrefix(filepath.Ext(c.output), ".")
	if format != "svg" && format != "png" {
		return errors.Wrapf(ErrInvalidFlag, "--output %q: must end with .svg or .png", c.output)
	}
	if len(c.results) == 0 {
		return errors.Wrap(ErrInvalidFlag, "--result: at least one result file is needed")
	}
	all := make([]result.Result, 0, len(c.results))
	for _, path := range c.results {
		read, err := readResult(path)
		if err != nil {
			return err
		}
		all = append(all, read)
	}
	file, err := os.Create(c.output)
	if err != nil {
		return errors.Wrap(err, "creating the plot")
	}
	err = plotter.New(all...).Write(file, format)
	if closeErr := file.Close(); err == nil {
		err = errors.Wrap(closeErr, "closing the plot")
	}
	return err
}
