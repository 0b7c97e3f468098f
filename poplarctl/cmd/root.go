package cmd

import (
	"context"
	"io"
	"net/url"
	"slices"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/poplarctl/modules/printer"
	"poplarhook.example/poplarctl/modules/requester"
	"poplarhook.example/poplarctl/services/awaiter"
	"poplarhook.example/poplarctl/services/submitter"
)

// Version is the version of poplarctl.
const Version = "0.1.0"

// Exit codes of the program.
const (
	// ExitRefused is the code for refusals and for all errors without a code of their own.
	ExitRefused = 1
	// ExitUsage is the code for an invalid command line or environment.
	ExitUsage = 2
	// ExitUnknown is the code for a change whose outcome is unknown.
	ExitUnknown = 3
	// ExitWaiting is the code for an accepted change that not all live entry hosts ran in time.
	ExitWaiting = 4
)

// ErrUsage means that the command line or the environment is invalid.
var ErrUsage = errors.New("invalid usage")

const defaultTimeout = time.Minute

// environmentSettings holds the settings that are read from environment variables.
type environmentSettings struct {
	Admin []string `env:"POPLARCTL_ADMIN" envSeparator:","`
	Token string   `env:"POPLARCTL_TOKEN"`
}

// app holds the settings, inputs and outputs that all subcommands share.
type app struct {
	environmentSettings
	in      io.Reader
	out     io.Writer
	clock   func() time.Time
	admin   []string
	json    bool
	timeout time.Duration
}

// subcommand is one subcommand and the function that runs it.
type subcommand struct {
	parsed *flaggy.Subcommand
	run    func(ctx context.Context) error
}

// Execute parses the arguments and runs the subcommand that they name.
func Execute(ctx context.Context, arguments []string, in io.Reader, out io.Writer, clock func() time.Time) error {
	s := &app{in: in, out: out, clock: clock, timeout: defaultTimeout}
	if err := env.Parse(&s.environmentSettings); err != nil {
		return errors.Wrapf(ErrUsage, "environment: %v", err)
	}
	parser := flaggy.NewParser("poplarctl")
	parser.Description = "command-line client for operators: configuration, availability zones, status and dumps"
	parser.AdditionalHelpAppend = "\n  POPLARCTL_ADMIN holds base URLs, separated by commas, for use without --admin; POPLARCTL_TOKEN holds the bearer token."
	parser.Version = Version
	parser.StringSlice(&s.admin, "", "admin", "base URL of an entry host's administration API; may be repeated")
	parser.Bool(&s.json, "", "json", "write JSON")
	parser.Duration(&s.timeout, "", "timeout", "time limit of the whole command")
	commands := s.attachSubcommands(parser)
	if err := parseArguments(parser, arguments); err != nil {
		return err
	}
	return s.runUsedSubcommand(ctx, commands)
}

// parseArguments sets the flags from the arguments. It recovers from panics because the flag library panics on some
// malformed arguments, such as a bare dash.
func parseArguments(parser *flaggy.Parser, arguments []string) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = errors.Wrapf(ErrUsage, "arguments %q: %v", arguments, panicked)
		}
	}()
	replaced := slices.Clone(arguments)
	for i, argument := range replaced {
		if argument == "-" {
			replaced[i] = standardInputPath
		}
	}
	if err := parser.ParseArgs(replaced); err != nil {
		return errors.Wrapf(ErrUsage, "%v", err)
	}
	if len(parser.TrailingArguments) > 0 {
		return errors.Wrapf(ErrUsage, "unexpected argument %q", parser.TrailingArguments[0])
	}
	return nil
}

// attachSubcommands registers all subcommands with the parser and returns them.
func (s *app) attachSubcommands(parser *flaggy.Parser) []subcommand {
	config := flaggy.NewSubcommand("config")
	config.Description = "check, apply, show and compare configuration"
	zone := flaggy.NewSubcommand("zone")
	zone.Description = "take availability zones out of service and bring them back"
	groups := map[*flaggy.Subcommand][]subcommand{
		config: {newConfigCheck(s), newConfigApply(s), newConfigShow(s), newConfigDiff(s), newConfigHistory(s)},
		zone:   {newZoneOut(s), newZoneIn(s), newZoneList(s)},
	}
	topLevel := []subcommand{newStatus(s), newDump(s)}
	all := topLevel
	for _, group := range []*flaggy.Subcommand{config, zone} {
		parser.AttachSubcommand(group, 1)
		for _, command := range groups[group] {
			group.AttachSubcommand(command.parsed, 1)
			all = append(all, command)
		}
	}
	for _, command := range topLevel {
		parser.AttachSubcommand(command.parsed, 1)
	}
	return all
}

func (s *app) runUsedSubcommand(ctx context.Context, commands []subcommand) error {
	if s.timeout <= 0 {
		return errors.Wrapf(ErrUsage, "--timeout %v: must be above 0", s.timeout)
	}
	if len(s.admin) == 0 {
		s.admin = s.Admin
	}
	if err := checkAdmins(s.admin); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	for _, command := range commands {
		if command.parsed.Used {
			return command.run(ctx)
		}
	}
	return errors.Wrap(ErrUsage, "a subcommand is required: config check|apply|show|diff|history, zone out|in|list, status or dump")
}

func checkAdmins(admins []string) error {
	for _, admin := range admins {
		base, err := url.Parse(admin)
		if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") || base.RawQuery != "" {
			return errors.Wrapf(ErrUsage, "--admin %q: must be a base URL such as http://127.0.0.1:8082", admin)
		}
	}
	return nil
}

func (s *app) newRequester() *requester.Requester {
	return requester.New(s.admin, s.Token, s.clock)
}

func (s *app) newPrinter() printer.Printer {
	return printer.New(s.out, s.json)
}

// ExitCode returns the exit code of the program for an error.
func ExitCode(err error) int {
	switch {
	case errors.Is(err, ErrUsage), errors.Is(err, requester.ErrNoAdmin):
		return ExitUsage
	case errors.Is(err, submitter.ErrUnknownOutcome):
		return ExitUnknown
	case errors.Is(err, awaiter.ErrNotRolledOut):
		return ExitWaiting
	}
	return ExitRefused
}
