package fleet

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// BinVariable names the folder of built programs for tests; ../../bin when it is not set.
const BinVariable = "FLEET_BIN"

// ErrNotBuilt is returned when the programs have not been built.
var ErrNotBuilt = errors.New("programs are not built: run make build")

// Bin returns the folder of built programs for tests, or ErrNotBuilt.
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
