package classifier_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/classifier"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/snapshot"
)

func newDocument(team string, classes ...class.Class) document.Document {
	return document.Document{Team: team, Classes: classes}
}

func newClass(name, prefix string, hosts ...string) class.Class {
	return class.Class{Name: name, Methods: []string{"GET", "POST"}, PathPrefix: prefix, Hosts: hosts}
}

func newTestClassifier() *classifier.Classifier {
	return classifier.New(snapshot.Snapshot{Documents: []document.Document{
		newDocument("shop", newClass("all", "/"), newClass("stock", "/stock"), newClass("deep", "/stock/deep/er"),
			newClass("named", "/stock", "b.example")),
		newDocument("office", newClass("grants", "/grants/pay", "kite.example")),
	}})
}

func TestClassify(t *testing.T) {
	for _, test := range []struct {
		method, host, path string
		want               string
	}{
		{"GET", "a.example", "/", "shop/all"},
		{"GET", "a.example", "/stocks", "shop/all"},
		{"GET", "a.example", "/stock", "shop/stock"},
		{"GET", "a.example", "/stock/", "shop/stock"},
		{"GET", "a.example", "/st%6Fck/1%20m", "shop/stock"},
		{"GET", "a.example", "/stock/deep", "shop/stock"},
		{"GET", "a.example", "/stock/deep/er/and/deeper", "shop/deep"},
		{"GET", "B.Example.:8080", "/stock/1", "shop/named"},
		{"GET", "b.example", "/stock/deep/er", "shop/deep"},
		{"POST", "kite.example", "/grants/pay", "office/grants"},
		{"POST", "kite.example", "/grants/payments", "shop/all"},
		{"POST", "[::1]:80", "/grants/pay", "shop/all"},
		{"GET", "a.example", "/" + strings.Repeat("a/", 4000), "shop/all"},
	} {
		got, team, err := newTestClassifier().Classify(test.method, test.host, test.path)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, team+"/"+got.Name, qt.Equals, test.want, qt.Commentf("%s %.40s", test.host, test.path))
	}
}

func TestClassifyRefusesRequests(t *testing.T) {
	for _, path := range []string{
		"", "*", "stock", "//stock", "/stock//1", "/stock/..", "/a/../stock", "/./stock", "/stock/.",
		"/stock%2f1", "/stock%2F..", "/%2e%2e/stock", "/a/%2E./stock", "/stock%5c1", `/a\stock`, "/%73tock%252f", "/stock;v=1", "/stock%3bv",
		"/stock/..;/x", "/stock%00", "/stock%3f", "/stock?x=1", "/stock%", "/stock%4", "/stock%zz", "/stock%c0%af", "/stock\x7f",
	} {
		_, _, err := newTestClassifier().Classify("GET", "a.example", path)
		qt.Check(t, err, qt.ErrorIs, classifier.ErrBadPath, qt.Commentf("%q", path))
	}
	for _, test := range []struct{ method, host, path string }{
		{"PUT", "a.example", "/stock"},
		{"get", "a.example", "/stock"},
		{"GET", "kite.example/grants", "/stock"},
	} {
		_, _, err := newTestClassifier().Classify(test.method, test.host, test.path)
		qt.Check(t, err, qt.ErrorIs, classifier.ErrNoClass, qt.Commentf("%+v", test))
	}
	_, _, err := classifier.New(snapshot.Snapshot{}).Classify("GET", "a.example", "/stock")
	qt.Assert(t, err, qt.ErrorIs, classifier.ErrNoClass)
}

// TestEscapingDoesNotChangeClass checks that a path with escaped characters either gets the class of the unescaped path
// or is refused.
func TestEscapingDoesNotChangeClass(t *testing.T) {
	c := newTestClassifier()
	rapid.Check(t, func(t *rapid.T) {
		plain := "/" + strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"stock", "deep", "er", "x", "..", "."}), 1, 5).Draw(t, "segments"), "/")
		var escaped strings.Builder
		for _, b := range []byte(plain) {
			switch rapid.IntRange(0, 3).Draw(t, "form") {
			case 0:
				fmt.Fprintf(&escaped, "%%%02x", b)
			case 1:
				fmt.Fprintf(&escaped, "%%%02X", b)
			default:
				escaped.WriteByte(b)
			}
		}
		want, _, wantErr := c.Classify("GET", "a.example", plain)
		got, _, err := c.Classify("GET", "a.example", escaped.String())
		refused := errors.Is(err, classifier.ErrBadPath)
		if !refused && (err != nil || wantErr != nil || got.Name != want.Name) {
			t.Fatalf("%s is %s (%v), %s is %s (%v)", plain, want.Name, wantErr, escaped.String(), got.Name, err)
		}
	})
}

func BenchmarkClassify3600Services(b *testing.B) {
	var docs []document.Document
	for i := range 3600 {
		docs = append(docs, newDocument(
			fmt.Sprintf("team_%d", i),
			newClass("lookups", fmt.Sprintf("/service_%d/lookups", i)),
		))
	}
	c := classifier.New(snapshot.Snapshot{Documents: docs})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, _, err := c.Classify("GET", "a.example", "/service_1800/lookups/tissue/42"); err != nil {
			b.Fatal(err)
		}
	}
}
