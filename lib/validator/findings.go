package validator

import (
	"fmt"
	"slices"
	"strings"

	"poplarhook.example/lib/violation"
)

// findings collects violations, at most maxViolations. The prefix is put before the name of each field.
type findings struct {
	prefix     string
	violations []violation.Violation
}

// withPrefix returns findings with the same violations and another prefix. The caller must copy the violations back
// afterwards.
func (f *findings) withPrefix(prefix string) *findings {
	return &findings{prefix: prefix, violations: f.violations}
}

func (f *findings) add(field, value, allowed string) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, violation.New(f.prefix+field, value, allowed))
	}
}

func (f *findings) checkCount(field string, count, limit int) {
	if count > limit {
		f.add(field, fmt.Sprintf("%d entries", count), fmt.Sprintf("at most %d entries", limit))
	}
}

func (f *findings) checkUnique(field, value string, seen map[string]bool) {
	if seen[value] {
		f.add(field, value, "each value once")
	}
	seen[value] = true
}

func (f *findings) checkOneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		f.add(field, value, "one of "+strings.Join(allowed, ", "))
	}
}

func (f *findings) checkRange(field string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		f.add(field, fmt.Sprint(value), fmt.Sprintf("a whole number from %d to %d", minimum, maximum))
	}
}

// checkName checks the form of a name that operators choose.
func (f *findings) checkName(field, value string) {
	if !isValidName(value, "_") {
		f.add(field, value, fmt.Sprintf("1 to %d characters of a-z, 0-9 and _", MaxNameBytes))
	}
}

// checkLocation checks the form of the name of a region or an availability zone, which the platform chooses.
func (f *findings) checkLocation(field, value string) {
	if !isValidName(value, "_-") {
		f.add(field, value, fmt.Sprintf("1 to %d characters of a-z, 0-9, _ and -", MaxNameBytes))
	}
}

// checkKnown checks that a region or an availability zone is one of the known ones. If none are known, it checks only
// the form of the name.
func (f *findings) checkKnown(field, value string, known []string) {
	if len(known) == 0 {
		f.checkLocation(field, value)
		return
	}
	f.checkOneOf(field, value, known...)
}

// isValidName reports whether a value consists of lower-case letters, digits and the given marks, within MaxNameBytes.
func isValidName(value, marks string) bool {
	if value == "" || len(value) > MaxNameBytes {
		return false
	}
	return !strings.ContainsFunc(value, func(r rune) bool {
		return !isLowerOrDigit(r) && !strings.ContainsRune(marks, r)
	})
}

func isLowerOrDigit(r rune) bool {
	return (r >= 'a' && r <= 'z') || (r >= '0' && r <= '9')
}
