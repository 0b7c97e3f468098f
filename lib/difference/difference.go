package difference

import (
	"encoding/json"
	"slices"
	"strings"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/document"
)

// Difference is one field of one class that differs between two documents, with both values as JSON. A value that is
// absent is empty. A class that was added or removed has one Difference with the field "class".
type Difference struct {
	Class string `json:"class"`
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

const wholeClass = "class"

// Between returns the differences between the old document and the new one, sorted by class and then by field.
func Between(before, after document.Document) []Difference {
	var list []Difference
	for _, c := range before.Classes {
		other, found := findClass(after, c.Name)
		if !found {
			list = append(list, Difference{Class: c.Name, Field: wholeClass, Old: encodeClass(c)})
			continue
		}
		list = append(list, compareFields(c, other)...)
	}
	for _, c := range after.Classes {
		if _, found := findClass(before, c.Name); !found {
			list = append(list, Difference{Class: c.Name, Field: wholeClass, New: encodeClass(c)})
		}
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return strings.Compare(a.Class, b.Class) })
	return list
}

func findClass(doc document.Document, name string) (class.Class, bool) {
	i := slices.IndexFunc(doc.Classes, func(c class.Class) bool { return c.Name == name })
	if i < 0 {
		return class.Class{}, false
	}
	return doc.Classes[i], true
}

func compareFields(before, after class.Class) []Difference {
	oldFields, newFields := encodeFields(before), encodeFields(after)
	names := map[string]bool{}
	for name := range oldFields {
		names[name] = true
	}
	for name := range newFields {
		names[name] = true
	}
	var list []Difference
	for name := range names {
		if string(oldFields[name]) != string(newFields[name]) {
			list = append(list, Difference{Class: before.Name, Field: name, Old: string(oldFields[name]), New: string(newFields[name])})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int { return strings.Compare(a.Field, b.Field) })
	return list
}

// encodeFields returns the encoded fields of a class by their names in JSON.
func encodeFields(c class.Class) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal([]byte(encodeClass(c)), &fields)
	return fields
}

func encodeClass(c class.Class) string {
	encoded, _ := json.Marshal(c)
	return string(encoded)
}
