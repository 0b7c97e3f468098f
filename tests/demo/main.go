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
	chosen   choice.Choice
	logs     string
}

func main() {
	s := settings{duration: 10 * time.Second}
	if err := s.parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	shown, err := demonstrate(ctx, s)
	stop()
	if err != nil {
		shown = shown.WithFailure(err)
	}
	if err := json.NewEncoder(os.Stdout).Encode(shown); err != nil || !shown.IsGood() {
		os.Exit(1)
	}
}

func (s *settings) parse(given []string) error {
	parser := arguments.New("demo", "run a deployment against stand-ins while an availability zone leaves and returns",
		"kite or brandstaetter")
	parser.Duration(&s.duration, "", "duration", "how long load is offered")
	parser.String(&s.logs, "", "logs", "folder for the output of the processes; temporary when empty")
	if err := parser.Parse(given); err != nil {
		return err
	}
	s.bin, s.chosen = parser.Bin, parser.Choice
	if s.duration < minDuration || s.duration > maxDuration {
		return errors.Wrapf(arguments.ErrFlag, "--duration: value %s, allowed: %s to %s", s.duration, minDuration, maxDuration)
	}
	return nil
}

// demonstrate keeps the processes' output only when the folder was asked for or something failed.
func demonstrate(ctx context.Context, s settings) (verdict.Verdict, error) {
	logs := s.logs
	if logs == "" {
		var err error
		if logs, err = os.MkdirTemp("", "poplarhook-demo-"); err != nil {
			return verdict.Verdict{}, errors.Wrap(err, "log folder")
		}
	}
	shown := demonstrator.New(s.chosen.Deployment, s.chosen.Mix, s.bin, logs, os.Stdout, time.Now).Run(ctx, s.duration)
	if !shown.IsGood() {
		fmt.Fprintln(os.Stderr, "demo: the processes' output is in", logs)
		return shown, nil
	}
	if s.logs == "" {
		return shown, errors.Wrap(os.RemoveAll(logs), "log folder")
	}
	return shown, nil
}
