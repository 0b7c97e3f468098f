package defect_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/defect"
)

func TestTextNamesEntryFieldValueAndWhatIsAllowed(t *testing.T) {
	for _, test := range []struct {
		defect defect.Defect
		want   string
	}{
		{defect.New(defect.KindClass, "orders", "kind", `"call"`, "safe or unsafe"), `class orders: kind is "\"call\"": allowed is safe or unsafe`},
		{defect.New(defect.KindConfiguration, "", "version", "12", "r and a number"), `configuration: version is "12": allowed is r and a number`},
	} {
		qt.Check(t, test.defect.String(), qt.Equals, test.want)
	}
}

func TestLongValuesAreShortened(t *testing.T) {
	qt.Assert(t, len(defect.New(defect.KindClass, "a", "kind", strings.Repeat("x", 1<<20), "").Value) < 100, qt.IsTrue)
}
