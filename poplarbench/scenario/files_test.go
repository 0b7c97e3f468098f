package scenario_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarbench/scenario"
)

func TestScenarioFiles(t *testing.T) {
	paths, err := filepath.Glob("../scenarios/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) > 0, qt.IsTrue)
	for _, path := range paths {
		file, err := os.Open(path)
		qt.Assert(t, err, qt.IsNil)
		_, err = scenario.Parse(file)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", path))
		file.Close()
	}
}
