package cmd

import (
	"context"
	"io"
	"net"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/experimenter"
	"poplarhook.example/poplarbench/reporter"
	"poplarhook.example/poplarbench/result"
	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/poplarbench/scheduler"
	"poplarhook.example/poplarbench/sender"
)

// ErrFlag is returned for a flag whose value is not allowed.
var ErrFlag = errors.New("invalid flag")

// ErrUnclean is returned when a request was lost, doubled, falsely called not run or served against its class.
var ErrUnclean = errors.New("requests were not answered as their class permits")

type runCommand struct {
	subcommand  *flaggy.Subcommand
	scenario    string
	targets     []string
	controls    []string
	hostList    string
	choice      string
	label       string
	output      string
	seed        uint64
	rate        float64
	duration    time.Duration
	settle      time.Duration
	timeout     time.Duration
	connections int
	check       bool
}

func newRunCommand() *runCommand {
	c := &runCommand{
		subcommand:  flaggy.NewSubcommand("run"),
		choice:      scheduler.RoundRobin,
		settle:      500 * time.Millisecond,
		timeout:     10 * time.Second,
		connections: 256,
	}
	s := c.subcommand
	s.Description = "offer the load of a scenario file and write the result as JSON"
	s.AddPositionalValue(&c.scenario, "SCENARIO", 1, true, "scenario file")
	s.StringSlice(&c.targets, "", "target", "address of an entry host; repeat for more")
	s.StringSlice(&c.controls, "", "control", "control address of an endpoint stand-in, whose records are accounted for; repeat for more")
	s.String(&c.hostList, "", "host-list-url", "URL of the platform's host list, to check home regions by")
	s.String(&c.choice, "", "choice", "choice of target: round_robin or random")
	s.String(&c.label, "", "label", "name of the run in tables")
	s.String(&c.output, "o", "output", "file for the result; standard output when empty")
	s.UInt64(&c.seed, "", "seed", "seed in place of the scenario's; 0 keeps it")
	s.Float64(&c.rate, "", "rate", "requests per second in place of the scenario's; 0 keeps it")
	s.Duration(&c.duration, "", "duration", "duration in place of the scenario's; 0s keeps it")
	s.Duration(&c.settle, "", "settle", "wait before the records are fetched")
	s.Duration(&c.timeout, "", "timeout", "longest wait for an answer without a deadline")
	s.Int(&c.connections, "", "connections", "most requests in flight")
	s.Bool(&c.check, "", "check", "fail when a request was lost, doubled, falsely called not run or served against its class")
	return c
}

func (c *runCommand) run(ctx context.Context, out io.Writer, clock func() time.Time) error {
	load, err := c.load()
	if err != nil {
		return err
	}
	measured, err := experimenter.New(load, c.targets, clock,
		experimenter.WithLabel(c.label),
		experimenter.WithChoice(c.choice),
		experimenter.WithControls(c.controls...),
		experimenter.WithHostList(c.hostList),
		experimenter.WithSettle(c.settle),
		experimenter.WithSending(sender.WithConnections(c.connections), sender.WithTimeout(c.timeout)),
	).Run(ctx)
	if err != nil {
		return err
	}
	if err := c.write(out, measured); err != nil {
		return err
	}
	if c.check && !measured.IsClean() {
		return errors.Wrapf(ErrUnclean, "lost %d, doubled %d, false_not_run %d, served_against_class %d",
			measured.Lost, measured.Doubled, measured.FalseNotRun, measured.ServedAgainstClass)
	}
	return nil
}

// load reads the scenario, puts the flags over it and checks both.
func (c *runCommand) load() (scenario.Scenario, error) {
	if err := c.checkFlags(); err != nil {
		return scenario.Scenario{}, err
	}
	file, err := os.Open(c.scenario)
	if err != nil {
		return scenario.Scenario{}, errors.Wrap(err, "opening the scenario")
	}
	defer file.Close()
	load, err := scenario.Parse(file)
	if err != nil {
		return scenario.Scenario{}, errors.Wrapf(err, "reading %s", c.scenario)
	}
	if c.seed != 0 {
		load = load.WithSeed(c.seed)
	}
	if c.rate != 0 {
		load = load.WithRate(c.rate)
	}
	if c.duration != 0 {
		load = load.WithDuration(c.duration)
	}
	return load, load.Check()
}

func (c *runCommand) checkFlags() error {
	if len(c.targets) == 0 {
		return errors.Wrap(ErrFlag, "--target: none given, allowed: one address or more")
	}
	for _, address := range c.targets {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrapf(ErrFlag, "--target: value %q, allowed: host:port", address)
		}
	}
	if c.check && len(c.controls) == 0 {
		return errors.Wrap(ErrFlag, "--check without --control: nothing can be checked")
	}
	if c.connections < 1 {
		return errors.Wrapf(ErrFlag, "--connections: value %d, allowed: 1 or more", c.connections)
	}
	if c.timeout <= 0 {
		return errors.Wrapf(ErrFlag, "--timeout: value %s, allowed: above 0s", c.timeout)
	}
	if c.settle < 0 {
		return errors.Wrapf(ErrFlag, "--settle: value %s, allowed: 0s or more", c.settle)
	}
	return nil
}

func (c *runCommand) write(out io.Writer, measured result.Result) error {
	if c.output == "" {
		return reporter.New(out).JSON(measured)
	}
	file, err := os.Create(c.output)
	if err != nil {
		return errors.Wrap(err, "creating the result file")
	}
	if err := reporter.New(file).JSON(measured); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "closing %s", c.output)
	}
	return reporter.New(out).Table(measured)
}
