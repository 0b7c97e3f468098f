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

// ErrInvalidFlag is returned for a flag value that is not allowed.
var ErrInvalidFlag = errors.New("invalid flag")

// ErrDiscrepancies is returned if a request was lost, executed more often than once although it must not be, falsely
// reported as not run, or executed outside its home regions.
var ErrDiscrepancies = errors.New("answers, executions and the rules of request classes do not agree")

type runCommand struct {
	subcommand        *flaggy.Subcommand
	scenario          string
	targets           []string
	controlAddresses  []string
	hostListURL       string
	targetChoice      string
	label             string
	output            string
	seed              uint64
	rate              float64
	duration          time.Duration
	collectDelay      time.Duration
	timeout           time.Duration
	connections       int
	failOnDiscrepancy bool
}

func newRunCommand() *runCommand {
	c := &runCommand{
		subcommand:   flaggy.NewSubcommand("run"),
		targetChoice: scheduler.RoundRobin,
		collectDelay: 500 * time.Millisecond,
		timeout:      10 * time.Second,
		connections:  256,
	}
	s := c.subcommand
	s.Description = "send the load of a scenario file and write the result as JSON"
	s.AddPositionalValue(&c.scenario, "SCENARIO", 1, true, "scenario file")
	s.StringSlice(&c.targets, "", "target", "address of an entry host; may be repeated")
	s.StringSlice(&c.controlAddresses, "", "control", "control address of an endpoint stand-in, whose execution records are compared with the answers; may be repeated")
	s.String(&c.hostListURL, "", "host-list-url", "URL of the platform's host list, used to check home regions")
	s.String(&c.targetChoice, "", "choice", "how targets are chosen: round_robin or random")
	s.String(&c.label, "", "label", "name of the run in tables")
	s.String(&c.output, "o", "output", "output file of the result; default: standard output")
	s.UInt64(&c.seed, "", "seed", "seed that replaces the scenario's; 0 keeps the scenario's")
	s.Float64(&c.rate, "", "rate", "requests per second, which replace the scenario's rate; 0 keeps the scenario's")
	s.Duration(&c.duration, "", "duration", "duration that replaces the scenario's; 0s keeps the scenario's")
	s.Duration(&c.collectDelay, "", "settle", "time to wait after the last answer before the execution records are fetched")
	s.Duration(&c.timeout, "", "timeout", "longest wait for the answer to a request without a deadline")
	s.Int(&c.connections, "", "connections", "maximum number of requests in flight")
	s.Bool(&c.failOnDiscrepancy, "", "check", "fail if a request was lost, executed twice against its rules, falsely reported as not run or executed outside its home regions")
	return c
}

func (c *runCommand) run(ctx context.Context, out io.Writer, clock func() time.Time) error {
	loaded, err := c.loadScenario()
	if err != nil {
		return err
	}
	measured, err := experimenter.New(loaded, c.targets, clock,
		experimenter.WithLabel(c.label),
		experimenter.WithTargetChoice(c.targetChoice),
		experimenter.WithControls(c.controlAddresses...),
		experimenter.WithHostList(c.hostListURL),
		experimenter.WithCollectDelay(c.collectDelay),
		experimenter.WithSenderOptions(sender.WithConnections(c.connections), sender.WithTimeout(c.timeout)),
	).Run(ctx)
	if err != nil {
		return err
	}
	if err := c.writeResult(out, measured); err != nil {
		return err
	}
	if c.failOnDiscrepancy && !measured.IsClean() {
		return errors.Wrapf(ErrDiscrepancies, "lost %d, doubled %d, false_not_run %d, served_against_class %d",
			measured.Lost, measured.Doubled, measured.FalseNotRun, measured.ServedAgainstClass)
	}
	return nil
}

// loadScenario reads the scenario, applies the flags that replace its values and validates the result.
func (c *runCommand) loadScenario() (scenario.Scenario, error) {
	if err := c.checkFlags(); err != nil {
		return scenario.Scenario{}, err
	}
	file, err := os.Open(c.scenario)
	if err != nil {
		return scenario.Scenario{}, errors.Wrap(err, "opening the scenario")
	}
	defer file.Close()
	loaded, err := scenario.Parse(file)
	if err != nil {
		return scenario.Scenario{}, errors.Wrapf(err, "reading %s", c.scenario)
	}
	if c.seed != 0 {
		loaded = loaded.WithSeed(c.seed)
	}
	if c.rate != 0 {
		loaded = loaded.WithRate(c.rate)
	}
	if c.duration != 0 {
		loaded = loaded.WithDuration(c.duration)
	}
	return loaded, loaded.Check()
}

func (c *runCommand) checkFlags() error {
	if len(c.targets) == 0 {
		return errors.Wrap(ErrInvalidFlag, "--target: none given, allowed: one address or more")
	}
	for _, address := range c.targets {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Wrapf(ErrInvalidFlag, "--target: value %q, allowed: host:port", address)
		}
	}
	if c.failOnDiscrepancy && len(c.controlAddresses) == 0 {
		return errors.Wrap(ErrInvalidFlag, "--check without --control: nothing can be checked")
	}
	if c.connections < 1 {
		return errors.Wrapf(ErrInvalidFlag, "--connections: value %d, allowed: 1 or more", c.connections)
	}
	if c.timeout <= 0 {
		return errors.Wrapf(ErrInvalidFlag, "--timeout: value %s, allowed: above 0s", c.timeout)
	}
	if c.collectDelay < 0 {
		return errors.Wrapf(ErrInvalidFlag, "--settle: value %s, allowed: 0s or more", c.collectDelay)
	}
	return nil
}

func (c *runCommand) writeResult(out io.Writer, measured result.Result) error {
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
