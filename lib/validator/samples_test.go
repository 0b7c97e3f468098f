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

// The sample documents must be valid, and the samples and docs/CONFIGURATION.md must cover every field of a document.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../../samples/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) >= 2, qt.IsTrue)
	v := validator.New(validator.WithRegions("oberbayern", "franken", "schwaben", "pohja", "louna", "laane"))
	var snap snapshot.Snapshot
	var allSamples strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		doc, err := parser.New().Parse(text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", file))
		qt.Assert(t, doc.Team+".yaml", qt.Equals, filepath.Base(file))
		snap.Documents = append(snap.Documents, doc)
		allSamples.Write(text)
	}
	qt.Assert(t, v.Snapshot(snap), qt.IsNil)

	page, err := os.ReadFile("../../docs/CONFIGURATION.md")
	qt.Assert(t, err, qt.IsNil)
	for _, structType := range []reflect.Type{reflect.TypeFor[document.Document](), reflect.TypeFor[class.Class]()} {
		for i := range structType.NumField() {
			name, _, _ := strings.Cut(structType.Field(i).Tag.Get("yaml"), ",")
			if name == "-" {
				continue // The field is not part of a document.
			}
			qt.Check(t, strings.Contains(allSamples.String(), name+":"), qt.IsTrue, qt.Commentf("no sample has the field %s", name))
			qt.Check(t, strings.Contains(string(page), "| `"+name+"` |"), qt.IsTrue, qt.Commentf("docs/CONFIGURATION.md does not describe %s", name))
		}
	}
}
