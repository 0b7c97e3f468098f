package arguments_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/tests/arguments"
	"poplarhook.example/tests/choice"
)

func TestParse(t *testing.T) {
	for _, row := range []struct {
		name  string
		given []string
		want  string
		err   string
	}{
		{"defaults", nil, choice.Kite, ""},
		{"named", []string{"--deployment", "brandstaetter", "--bin", "elsewhere"}, choice.Brandstaetter, ""},
		{"unknown deployment", []string{"--deployment", "other"}, "", `--deployment: value "other", allowed: kite, brandstaetter: unknown deployment`},
	} {
		t.Run(row.name, func(t *testing.T) {
			parsed := arguments.New("program", "does something", "kite or brandstaetter")
			err := parsed.Parse(row.given)
			if row.err != "" {
				qt.Assert(t, err, qt.ErrorMatches, row.err)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, parsed.Choice.Name, qt.Equals, row.want)
			qt.Check(t, filepath.IsAbs(parsed.Bin), qt.IsTrue)
		})
	}
}
