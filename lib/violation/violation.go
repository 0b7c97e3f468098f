package violation

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid is what every violation and every joined list of violations is, for errors.Is.
var ErrInvalid = errors.New("invalid configuration")

// Violation names a field of a configuration, the value found there and what is allowed.
type Violation struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// New returns a violation, with a long value shortened for display.
func New(field, value, allowed string) Violation {
	return Violation{Field: field, Value: shorten(value), Allowed: allowed}
}

// Error returns the violation as one line.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", v.Field, v.Value, v.Allowed)
}

// Is reports whether the target is ErrInvalid.
func (v Violation) Is(target error) bool {
	return target == ErrInvalid
}

// Join returns an error that holds the whole list, or nil for an empty one.
func Join(list []Violation) error {
	if len(list) == 0 {
		return nil
	}
	return joined(list)
}

// List returns the violations that an error holds, none for an error of another kind.
func List(err error) []Violation {
	var list joined
	if errors.As(err, &list) {
		return list
	}
	var one Violation
	if errors.As(err, &one) {
		return []Violation{one}
	}
	return nil
}

type joined []Violation

func (j joined) Error() string {
	lines := make([]string, 0, len(j))
	for _, v := range j {
		lines = append(lines, v.Error())
	}
	return strings.Join(lines, "\n")
}

func (j joined) Is(target error) bool {
	return target == ErrInvalid
}

const maxValueBytes = 80

func shorten(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}
