package spread_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/tests/spread"
)

func TestNew(t *testing.T) {
	qt.Assert(t, spread.New(), qt.Equals, spread.Spread{})
	qt.Assert(t, spread.New(3, 1, 2), qt.Equals, spread.Spread{Lowest: 1, Middle: 2, Highest: 3})
	qt.Assert(t, spread.New(3, 1, 2).String(), qt.Equals, "2.0 [1.0-3.0]")
}
