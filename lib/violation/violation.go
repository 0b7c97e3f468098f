package violation

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid matches every violation and every joined list of violations with errors.Is.
var ErrInvalid = errors.New("invalid configuration")

// Violation names a field of a configuration, the value found there and what is allowed.
type Violation struct {
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// New returns a violation, with a long value shortened for display.
func New(field, value, allowed string) Violation {
	return Violation{Field: field, Value: shortenValue(value), Allowed: allowed}
}

// Error returns the violation as one line.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: %s", v.Field, v.Value, v.Allowed)
}

// Is reports whether the target is ErrInvalid.
func (v Violation) Is(target error) bool {
	return target == ErrInvalid
}

// Join returns an error that contains all the given violations, or nil if there are none.
func Join(list []Violation) error {
	if len(list) == 0 {
		return nil
	}
	return violations(list)
}

// List returns the violations that an error contains, or nil if it is another kind of error.
func List(err error) []Violation {
	var list violations
	if errors.As(err, &list) {
		return list
	}
	var single Violation
	if errors.As(err, &single) {
		return []Violation{single}
	}
	return nil
}

type violations []Violation

func (v violations) Error() string {
	lines := make([]string, 0, len(v))
	for _, violation := range v {
		lines = append(lines, violation.Error())
	}
	return strings.Join(lines, "\n")
}

func (v violations) Is(target error) bool {
	return target == ErrInvalid
}

// maxValueBytes is the length in bytes to which longer values are shortened.
const maxValueBytes = 80

func shortenValue(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
}
