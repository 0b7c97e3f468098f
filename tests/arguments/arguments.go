package arguments

import (
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/tests/choice"
)

// ErrFlag is returned for a flag whose value is not allowed.
var ErrFlag = errors.New("invalid flag")

// Arguments contains a program's flags, which include --bin and --deployment.
type Arguments struct {
	*flaggy.Parser
	// Bin is the folder of the built programs; it is an absolute path after Parse.
	Bin string
	// Choice is the deployment and the load that --deployment names.
	Choice     choice.Choice
	deployment string
}

// New returns the common arguments of a program; the program may add flags of its own before it calls Parse.
func New(program, description, deploymentHelp string) *Arguments {
	a := &Arguments{Parser: flaggy.NewParser(program), Bin: "bin", deployment: choice.Kite}
	a.Description = description
	a.DisableShowVersionWithVersion()
	a.String(&a.Bin, "", "bin", "folder of the built programs")
	a.String(&a.deployment, "", "deployment", deploymentHelp)
	return a
}

// Parse parses a command line and returns an error that names the flag if a value is not allowed.
func (a *Arguments) Parse(commandLine []string) error {
	if err := a.ParseArgs(commandLine); err != nil {
		return errors.Wrap(err, "reading the arguments")
	}
	var err error
	if a.Choice, err = choice.New(a.deployment); err != nil {
		return errors.Wrap(err, "--deployment")
	}
	a.Bin, err = filepath.Abs(a.Bin)
	return errors.Wrap(err, "--bin")
}
