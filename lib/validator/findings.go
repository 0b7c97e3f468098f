package validator

import (
	"fmt"
	"slices"
	"strings"

	"poplarhook.example/lib/violation"
)

// findings collects violations, up to a bound.
type findings struct {
	prefix string
	list   []violation.Violation
}

func (f *findings) under(prefix string) *findings {
	return &findings{prefix: prefix, list: f.list}
}

func (f *findings) refuse(field, value, allowed string) {
	if len(f.list) < maxViolations {
		f.list = append(f.list, violation.New(f.prefix+field, value, allowed))
	}
}

func (f *findings) atMost(field string, count, limit int) {
	if count > limit {
		f.refuse(field, fmt.Sprintf("%d entries", count), fmt.Sprintf("at most %d entries", limit))
	}
}

func (f *findings) unique(field, value string, seen map[string]bool) {
	if seen[value] {
		f.refuse(field, value, "each value once")
	}
	seen[value] = true
}

func (f *findings) oneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		f.refuse(field, value, "one of "+strings.Join(allowed, ", "))
	}
}

func (f *findings) between(field string, value, low, high int64) {
	if value < low || value > high {
		f.refuse(field, fmt.Sprint(value), fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}

// name checks a name that the operators choose.
func (f *findings) name(field, value string) {
	if !isName(value, "_") {
		f.refuse(field, value, fmt.Sprintf("1 to %d characters of a-z, 0-9 and _", MaxNameBytes))
	}
}

// place checks a name that the platform gives to a region or an availability zone.
func (f *findings) place(field, value string) {
	if !isName(value, "_-") {
		f.refuse(field, value, fmt.Sprintf("1 to %d characters of a-z, 0-9, _ and -", MaxNameBytes))
	}
}

// known checks a place against the known ones, if there are any.
func (f *findings) known(field, value string, known []string) {
	if len(known) == 0 {
		f.place(field, value)
		return
	}
	f.oneOf(field, value, known...)
}

func isName(value, marks string) bool {
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
