package defect

import "fmt"

// Kinds of entries.
const (
	KindConfiguration = "configuration"
	KindClass         = "class"
	KindService       = "service"
	KindLimit         = "limit"
	KindWorkspace     = "workspace"
)

// maxValueBytes bounds the part of a value that is kept.
const maxValueBytes = 80

// Defect says which field of an entry cannot be read, its value and what is allowed.
type Defect struct {
	Kind string `json:"kind"`
	// Entry is the name of the entry, or its position such as "#3" if the name cannot be read.
	Entry   string `json:"entry,omitempty"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// New returns the defect of an entry's field; a long value is shortened.
func New(kind, entry, field, value, allowed string) Defect {
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes] + "..."
	}
	return Defect{Kind: kind, Entry: entry, Field: field, Value: value, Allowed: allowed}
}

// String returns the defect as one line of text.
func (d Defect) String() string {
	entry := d.Kind
	if d.Entry != "" {
		entry += " " + d.Entry
	}
	return fmt.Sprintf("%s: %s is %q: allowed is %s", entry, d.Field, d.Value, d.Allowed)
}
