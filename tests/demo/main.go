package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/tests/arguments"
	"poplarhook.example/tests/choice"
	"poplarhook.example/tests/demonstrator"
	"poplarhook.example/tests/verdict"
)

const (
	minDuration = time.Second
	maxDuration = time.Hour
)

type settings struct {
	duration time.Duration
	bin      string
	choice   choice.Choice
	logs     string
}

func main() {
	s := settings{duration: 10 * time.Second}
	if err := s.parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	result, err := demonstrate(ctx, s)
	stop()
	if err != nil {
		result = result.WithFailure(err)
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil || !result.HasPassed() {
		os.Exit(1)
	}
}

func (s *settings) parse(commandLine []string) error {
	parser := arguments.New("demo", "run a deployment against stand-ins while an availability zone is taken out of service and brought back",
		"kite or brandstaetter")
	parser.Duration(&s.duration, "", "duration", "duration of the load")
	parser.String(&s.logs, "", "logs", "folder for the output of the processes; temporary when empty")
	if err := parser.Parse(commandLine); err != nil {
		return err
	}
	s.bin, s.choice = parser.Bin, parser.Choice
	if s.duration < minDuration || s.duration > maxDuration {
		return errors.Wrapf(arguments.ErrFlag, "--duration: value %s, allowed: %s to %s", s.duration, minDuration, maxDuration)
	}
	return nil
}

// demonstrate runs the demonstration and removes the output of its processes afterwards, unless the user set the
// folder for it or the demonstration failed.
func demonstrate(ctx context.Context, s settings) (verdict.Verdict, error) {
	logs := s.logs
	if logs == "" {
		var err error
		if logs, err = os.MkdirTemp("", "poplarhook-demo-"); err != nil {
			return verdict.Verdict{}, errors.Wrap(err, "log folder")
		}
	}
	result := demonstrator.New(s.choice.Deployment, s.choice.Mix, s.bin, logs, os.Stdout, time.Now).Run(ctx, s.duration)
	if !result.HasPassed() {
		fmt.Fprintln(os.Stderr, "demo: the processes' output is in", logs)
		return result, nil
	}
	if s.logs == "" {
		return result, errors.Wrap(os.RemoveAll(logs), "log folder")
	}
	return result, nil
}
