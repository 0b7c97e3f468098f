package arguments

import (
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"poplarhook.example/tests/choice"
)

// ErrFlag is returned for a flag whose value is not allowed.
var ErrFlag = errors.New("invalid flag")

// Arguments are a program's flags, with --bin and --deployment among them.
type Arguments struct {
	*flaggy.Parser
	// Bin is the folder of the built programs, absolute once parsed.
	Bin string
	// Choice is what --deployment names.
	Choice     choice.Choice
	deployment string
}

// New returns the arguments of a program, to which it adds flags of its own.
func New(program, description, deploymentHelp string) *Arguments {
	a := &Arguments{Parser: flaggy.NewParser(program), Bin: "bin", deployment: choice.Kite}
	a.Description = description
	a.DisableShowVersionWithVersion()
	a.String(&a.Bin, "", "bin", "folder of the built programs")
	a.String(&a.deployment, "", "deployment", deploymentHelp)
	return a
}

// Parse reads the arguments of a command line; a value that is not allowed is an error that names its flag.
func (a *Arguments) Parse(given []string) error {
	if err := a.ParseArgs(given); err != nil {
		return errors.Wrap(err, "reading the arguments")
	}
	var err error
	if a.Choice, err = choice.New(a.deployment); err != nil {
		return errors.Wrap(err, "--deployment")
	}
	a.Bin, err = filepath.Abs(a.Bin)
	return errors.Wrap(err, "--bin")
}
