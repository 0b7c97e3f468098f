package difference

import (
	"encoding/json"
	"slices"
	"strings"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

// Difference is one field of one class that differs between two documents; an
// absent side is empty, and a class that is new or gone has the field "class".
type Difference struct {
	Class string `json:"class"`
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

const wholeClass = "class"

// Between returns how to come from the old document to the new one, by class and field.
func Between(before, after document.Document) []Difference {
	var list []Difference
	for _, c := range before.Classes {
		kept, found := find(after, c.Name)
		if !found {
			list = append(list, Difference{Class: c.Name, Field: wholeClass, Old: text(c)})
			continue
		}
		list = append(list, fields(c, kept)...)
	}
	for _, c := range after.Classes {
		if _, found := find(before, c.Name); !found {
			list = append(list, Difference{Class: c.Name, Field: wholeClass, New: text(c)})
		}
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return strings.Compare(a.Class, b.Class) })
	return list
}

func find(doc document.Document, name string) (class.Class, bool) {
	at := slices.IndexFunc(doc.Classes, func(c class.Class) bool { return c.Name == name })
	if at < 0 {
		return class.Class{}, false
	}
	return doc.Classes[at], true
}

func fields(before, after class.Class) []Difference {
	was, is := encoded(before), encoded(after)
	names := map[string]bool{}
	for name := range was {
		names[name] = true
	}
	for name := range is {
		names[name] = true
	}
	var list []Difference
	for name := range names {
		if string(was[name]) != string(is[name]) {
			list = append(list, Difference{Class: before.Name, Field: name, Old: string(was[name]), New: string(is[name])})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int { return strings.Compare(a.Field, b.Field) })
	return list
}

// encoded returns the fields of a class by their names in JSON.
func encoded(c class.Class) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal([]byte(text(c)), &fields)
	return fields
}

func text(c class.Class) string {
	encoded, _ := json.Marshal(c)
	return string(encoded)
}
