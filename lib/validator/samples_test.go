package validator_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/parser"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/validator"
)

func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../../samples/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 2, qt.IsTrue)
	v := validator.New(validator.WithRegions("oberbayern", "franken", "schwaben", "pohja", "louna", "laane"))
	var snap snapshot.Snapshot
	var every strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		doc, err := parser.New().Parse(text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", file))
		qt.Assert(t, doc.Team+".yaml", qt.Equals, filepath.Base(file))
		snap.Documents = append(snap.Documents, doc)
		every.Write(text)
	}
	qt.Assert(t, v.Snapshot(snap), qt.IsNil)

	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	qt.Assert(t, err, qt.IsNil)
	for _, of := range []reflect.Type{reflect.TypeFor[document.Document](), reflect.TypeFor[class.Class]()} {
		for i := range of.NumField() {
			name, _, _ := strings.Cut(of.Field(i).Tag.Get("yaml"), ",")
			if name == "-" {
				continue // No document has the field.
			}
			qt.Check(t, strings.Contains(every.String(), name+":"), qt.IsTrue, qt.Commentf("no sample has %s", name))
			qt.Check(t, strings.Contains(string(page), "| `"+name+"` |"), qt.IsTrue, qt.Commentf("the page lacks %s", name))
		}
	}
}
