package choice

import (
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/scenario"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/mix"
)

// Names of the users' deployments.
const (
	Kite          = "kite"
	Brandstaetter = "brandstaetter"
)

// ErrUnknown is returned for a name that is not the name of a deployment.
var ErrUnknown = errors.New("unknown deployment")

// Choice is a user's complete deployment and the load that its callers offer.
type Choice struct {
	Name       string
	Deployment deployment.Deployment
	Mix        []scenario.Entry
}

// New returns the deployment and the load of the given name, or ErrUnknown.
func New(name string) (Choice, error) {
	switch name {
	case Kite:
		return Choice{Name: name, Deployment: deployment.Kite(), Mix: mix.Kite()}, nil
	case Brandstaetter:
		return Choice{Name: name, Deployment: deployment.Brandstaetter(), Mix: mix.Brandstaetter()}, nil
	}
	return Choice{}, errors.Wrapf(ErrUnknown, "value %q, allowed: %s, %s", name, Kite, Brandstaetter)
}
