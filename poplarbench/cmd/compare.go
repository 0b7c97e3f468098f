package cmd

import (
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/comparer"
	"poplarhook.example/poplarbench/result"
)

type compareCommand struct {
	subcommand *flaggy.Subcommand
	before     string
	after      string
}

func newCompareCommand() *compareCommand {
	c := &compareCommand{subcommand: flaggy.NewSubcommand("compare")}
	c.subcommand.Description = "print two results side by side"
	c.subcommand.AddPositionalValue(&c.before, "A", 1, true, "result file of the first run")
	c.subcommand.AddPositionalValue(&c.after, "B", 2, true, "result file of the second run")
	return c
}

func (c *compareCommand) run(out io.Writer) error {
	before, err := readResult(c.before)
	if err != nil {
		return err
	}
	after, err := readResult(c.after)
	if err != nil {
		return err
	}
	return comparer.New(before, after).Write(out)
}

func readResult(path string) (result.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return result.Result{}, errors.Wrap(err, "opening a result")
	}
	defer file.Close()
	read, err := comparer.Read(file)
	return read, errors.Wrapf(err, "reading %s", path)
}
