package storer

import (
	"net/http"
	"strconv"
)

// Precondition is a condition under which a write is applied.
type Precondition func(http.Header)

// IfVersion makes a write conditional on the object having the given version.
func IfVersion(version int64) Precondition {
	return func(header http.Header) { header.Set("If-Match", strconv.Quote(strconv.FormatInt(version, 10))) }
}

// IfAbsent makes a write conditional on there being no object with the key.
func IfAbsent() Precondition {
	return func(header http.Header) { header.Set("If-None-Match", "*") }
}
