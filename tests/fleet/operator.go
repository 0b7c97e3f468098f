package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"poplarhook.example/lib/document"
)

// Operators is the team that may take availability zones out of service and read the state of every entry host.
const Operators = "operators"

const (
	tokensVariable = "POPLARHOOK_ADMIN_TOKENS"
	adminVariable  = "POPLARCTL_ADMIN"
	tokenVariable  = "POPLARCTL_TOKEN"
	// ctlKillDelay is how long Ctl waits for poplarctl to end and close its output after the context is done.
	ctlKillDelay = 2 * time.Second
)

// ErrCommand is returned when poplarctl can't be run or ends with an exit code other than 0.
var ErrCommand = errors.New("poplarctl failed")

// Ctl runs poplarctl with the token of a team and the addresses of all entry hosts, and returns its standard output.
func (f *Fleet) Ctl(ctx context.Context, team string, arguments ...string) (string, error) {
	command := exec.CommandContext(ctx, filepath.Join(f.bin, "poplarctl"), arguments...)
	command.Env = append(os.Environ(), adminVariable+"="+strings.Join(f.adminURLs(), ","), tokenVariable+"="+f.Token(team))
	command.WaitDelay = ctlKillDelay
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	if err := command.Run(); err != nil {
		return stdout.String(), errors.Wrapf(ErrCommand, "%s: %v: %s", strings.Join(arguments, " "), err, strings.TrimSpace(stderr.String()))
	}
	return stdout.String(), nil
}

// Apply applies a team's document with poplarctl and waits until all live entry hosts use it.
func (f *Fleet) Apply(ctx context.Context, doc document.Document) error {
	text, err := json.Marshal(doc)
	if err != nil {
		return errors.Wrapf(err, "document of %s", doc.Team)
	}
	path := filepath.Join(f.logFolder, doc.Team+".document.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return errors.Wrapf(err, "document of %s", doc.Team)
	}
	_, err = f.Ctl(ctx, doc.Team, "config", "apply", path, "--wait")
	return err
}

// ZoneOut takes an availability zone out of service with poplarctl and returns when the change is accepted.
func (f *Fleet) ZoneOut(ctx context.Context, zone string) error {
	_, err := f.Ctl(ctx, Operators, "zone", "out", zone)
	return err
}

// ZoneIn brings an availability zone back into service with poplarctl and returns when the change is accepted.
func (f *Fleet) ZoneIn(ctx context.Context, zone string) error {
	_, err := f.Ctl(ctx, Operators, "zone", "in", zone)
	return err
}

// Token returns the bearer token that all entry hosts accept for a team, or an empty string if the team has none.
func (f *Fleet) Token(team string) string {
	return f.tokens[team]
}

func (f *Fleet) generateTokens() {
	f.tokens = map[string]string{
		Operators:                  uuid.NewString(),
		f.deployment.Document.Team: uuid.NewString(),
	}
}

func (f *Fleet) tokenEnvironment() string {
	var pairs []string
	for team, token := range f.tokens {
		pairs = append(pairs, team+":"+token)
	}
	return tokensVariable + "=" + strings.Join(pairs, ",")
}

func (f *Fleet) adminURLs() []string {
	var urls []string
	for _, entry := range f.Entries() {
		urls = append(urls, "http://"+entry.AdminAddress)
	}
	return urls
}
