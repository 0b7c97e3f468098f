package parser_test

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/parser"
)

const orders = `
team: cutting
classes:
  - name: cutting_orders # once only
    hosts: [orders.example]
    methods: [POST]
    path_prefix: /orders
    service: cutting_intake
    execution: once_only
    latency_target_ms: 200
    deadline_ms: 2000
    home_regions: [oberbayern]
    spill: never
    urgency: high
`

func TestParse(t *testing.T) {
	want := document.Document{Team: "cutting", Classes: []class.Class{{
		Name: "cutting_orders", Hosts: []string{"orders.example"}, Methods: []string{"POST"}, PathPrefix: "/orders",
		Service: "cutting_intake", Execution: class.OnceOnly, LatencyTargetMS: 200, DeadlineMS: 2000,
		HomeRegions: []string{"oberbayern"}, Spill: class.SpillNever, Urgency: class.UrgencyHigh,
	}}}
	got, err := parser.New().Parse([]byte(orders))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, want)

	for _, indent := range []string{"", "  ", "\t"} {
		text, err := json.MarshalIndent(want, "", indent)
		qt.Assert(t, err, qt.IsNil)
		got, err := parser.New().Parse(text)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("indent %q", indent))
		qt.Assert(t, got, qt.DeepEquals, want)
	}
}

func TestParseRefuses(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string
	}{
		{"nothing", "# only a comment\n", `document: "" is not allowed: one YAML or JSON document.*`},
		{"not YAML", "team: [a", `document: .*well-formed YAML or JSON`},
		{"two documents", "team: a\n---\nteam: b\n", `document: "a second document" is not allowed.*`},
		{"list", "- a\n", `document \(line 1\): "" is not allowed: a mapping of team, classes`},
		{"unknown field", "team: a\nowner: b\n", `owner \(line 2\): "owner" is not allowed: one of the fields team, classes`},
		{"nested unknown field", "classes:\n- weight: 3\n", `classes\[0\].weight \(line 2\): "weight" is not allowed: one of the fields name, .*`},
		{"field twice", "team: a\nteam: b\n", `team \(line 2\): "team" is not allowed: each field once`},
		{"kind", "team: 12\n", `team \(line 1\): "12" is not allowed: a string.*`},
		{"null", "team:\n", `team \(line 1\): "" is not allowed: a string.*`},
		{"fraction", "classes: [{deadline_ms: 1.5}]\n", `classes\[0\].deadline_ms \(line 1\): "1.5" is not allowed: a whole number`},
		{"too large", "classes: [{deadline_ms: 99999999999999999999}]\n", `.*a whole number`},
		{"alias", "team: &a x\n", `team \(line 1\): "x" is not allowed: a plain value, without anchor or alias`},
		{"merge", "classes: [{<<: {name: a}}]\n", `classes\[0\].<< \(line 1\): .*`},
		{"size", "team: " + strings.Repeat("a", parser.MaxBytes), `document: "\d+ bytes" is not allowed: at most \d+ bytes`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := parser.New().Parse([]byte(test.text))
			qt.Assert(t, err, qt.ErrorIs, parser.ErrInvalid)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(orders))
	f.Add([]byte(`{"team":"a","classes":[{"name":"b","methods":["GET"]}]}`))
	f.Add([]byte("team: &a x\nclasses: [*a]\n"))
	f.Add([]byte("%YAML 1.2\n---\nteam: !!binary aGk=\n"))
	f.Add([]byte("? - a\n: b\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := parser.New().Parse(text)
		if err != nil {
			qt.Assert(t, err, qt.ErrorIs, parser.ErrInvalid)
			return
		}
		encoded, err := json.Marshal(doc)
		qt.Assert(t, err, qt.IsNil)
		var again document.Document
		qt.Assert(t, json.Unmarshal(encoded, &again), qt.IsNil)
	})
}
