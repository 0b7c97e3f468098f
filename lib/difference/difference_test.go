package difference_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/difference"
	"poplarhook.example/lib/document"
)

func TestBetween(t *testing.T) {
	before := document.Document{Classes: []class.Class{
		{Name: "orders", Methods: []string{"POST"}, DeadlineMS: 500}, {Name: "gone"}, {Name: "same"},
	}}
	after := document.Document{Classes: []class.Class{
		{Name: "same"}, {Name: "orders", Methods: []string{"POST", "PUT"}, DeadlineMS: 900, HomeRegions: []string{"laane"}}, {Name: "added"},
	}}
	got := difference.Between(before, after)
	qt.Assert(t, got, qt.HasLen, 5)
	qt.Check(t, got[0].Class+" "+got[0].Field+" "+got[0].Old, qt.Equals, "added class ")
	qt.Check(t, got[0].New, qt.Matches, `\{"name":"added".*`)
	qt.Check(t, got[1].Class+" "+got[1].Field+" "+got[1].New, qt.Equals, "gone class ")
	qt.Check(t, got[2:], qt.DeepEquals, []difference.Difference{
		{Class: "orders", Field: "deadline_ms", Old: "500", New: "900"},
		{Class: "orders", Field: "home_regions", New: `["laane"]`},
		{Class: "orders", Field: "methods", Old: `["POST"]`, New: `["POST","PUT"]`},
	})
	qt.Assert(t, difference.Between(after, after), qt.HasLen, 0)
}
