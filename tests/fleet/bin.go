package fleet

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// BinVariable is the environment variable with the folder of the built programs; if it is not set, the folder is
// ../../bin.
const BinVariable = "FLEET_BIN"

// ErrNotBuilt is returned when the programs have not been built.
var ErrNotBuilt = errors.New("programs are not built: run make build")

// Bin returns the folder of the built programs for tests, or ErrNotBuilt if a program is missing there.
func Bin() (string, error) {
	bin := os.Getenv(BinVariable)
	if bin == "" {
		bin = filepath.Join("..", "..", "bin")
	}
	for _, program := range []string{"poplarhook", "standin"} {
		if _, err := os.Stat(filepath.Join(bin, program)); err != nil {
			return "", errors.Wrapf(ErrNotBuilt, "%v", err)
		}
	}
	return filepath.Abs(bin)
}
