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
	"poplarhook.example/poplarctl/services/settler"
)

// Version is the release of the program.
const Version = "0.1.0"

// Exit codes of the program.
const (
	ExitRefused = 1
	ExitUsage   = 2
	ExitUnknown = 3
	ExitWaiting = 4
)

// ErrUsage means that the command line or the environment is wrong.
var ErrUsage = errors.New("wrong usage")

const defaultTimeout = time.Minute

// environment is what the program takes from the environment.
type environment struct {
	Admin []string `env:"POPLARCTL_ADMIN" envSeparator:","`
	Token string   `env:"POPLARCTL_TOKEN"`
}

// shared is what every subcommand works with.
type shared struct {
	environment
	in      io.Reader
	out     io.Writer
	clock   func() time.Time
	admin   []string
	json    bool
	timeout time.Duration
}

// subcommand is one entry of the command line.
type subcommand struct {
	parsed *flaggy.Subcommand
	run    func(ctx context.Context) error
}

// Execute runs the subcommand that the arguments name.
func Execute(ctx context.Context, arguments []string, in io.Reader, out io.Writer, clock func() time.Time) error {
	s := &shared{in: in, out: out, clock: clock, timeout: defaultTimeout}
	if err := env.Parse(&s.environment); err != nil {
		return errors.Wrapf(ErrUsage, "environment: %v", err)
	}
	parser := flaggy.NewParser("poplarctl")
	parser.Description = "the operators' command: configuration, availability zones, status and dumps"
	parser.AdditionalHelpAppend = "\n  POPLARCTL_ADMIN holds base URLs, separated by commas, for want of --admin; POPLARCTL_TOKEN holds the bearer token."
	parser.Version = Version
	parser.StringSlice(&s.admin, "", "admin", "base URL of an entry host's administration API; may be repeated")
	parser.Bool(&s.json, "", "json", "write JSON")
	parser.Duration(&s.timeout, "", "timeout", "longest time that the whole command may take")
	commands := s.attach(parser)
	if err := parse(parser, arguments); err != nil {
		return err
	}
	return s.run(ctx, commands)
}

// parse fills the flags; the library panics on some malformed arguments, such as a bare dash.
func parse(parser *flaggy.Parser, arguments []string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Wrapf(ErrUsage, "arguments %q: %v", arguments, cause)
		}
	}()
	named := slices.Clone(arguments)
	for i, argument := range named {
		if argument == "-" {
			named[i] = standardInput
		}
	}
	if err := parser.ParseArgs(named); err != nil {
		return errors.Wrapf(ErrUsage, "%v", err)
	}
	if len(parser.TrailingArguments) > 0 {
		return errors.Wrapf(ErrUsage, "unexpected argument %q", parser.TrailingArguments[0])
	}
	return nil
}

func (s *shared) attach(parser *flaggy.Parser) []subcommand {
	config := flaggy.NewSubcommand("config")
	config.Description = "check, apply, show and compare configuration"
	zone := flaggy.NewSubcommand("zone")
	zone.Description = "take availability zones out and bring them back"
	groups := map[*flaggy.Subcommand][]subcommand{
		config: {newConfigCheck(s), newConfigApply(s), newConfigShow(s), newConfigDiff(s), newConfigHistory(s)},
		zone:   {newZoneOut(s), newZoneIn(s), newZoneList(s)},
	}
	single := []subcommand{newStatus(s), newDump(s)}
	all := single
	for _, group := range []*flaggy.Subcommand{config, zone} {
		parser.AttachSubcommand(group, 1)
		for _, command := range groups[group] {
			group.AttachSubcommand(command.parsed, 1)
			all = append(all, command)
		}
	}
	for _, command := range single {
		parser.AttachSubcommand(command.parsed, 1)
	}
	return all
}

func (s *shared) run(ctx context.Context, commands []subcommand) error {
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

func (s *shared) requester() *requester.Requester {
	return requester.New(s.admin, s.Token, s.clock)
}

func (s *shared) printer() printer.Printer {
	return printer.New(s.out, s.json)
}

// ExitCode returns the code with which the program ends after an error.
func ExitCode(err error) int {
	switch {
	case errors.Is(err, ErrUsage), errors.Is(err, requester.ErrNoAdmin):
		return ExitUsage
	case errors.Is(err, settler.ErrUnknownOutcome):
		return ExitUnknown
	case errors.Is(err, awaiter.ErrNotEverywhere):
		return ExitWaiting
	}
	return ExitRefused
}
