package storer

import (
	"net/http"
	"strconv"
)

// Precondition is a condition under which a write is applied.
type Precondition func(http.Header)

// IfVersion lets a write apply only while the object has the given version.
func IfVersion(version int64) Precondition {
	return func(header http.Header) { header.Set("If-Match", strconv.Quote(strconv.FormatInt(version, 10))) }
}

// IfAbsent lets a write apply only while there is no object of the key.
func IfAbsent() Precondition {
	return func(header http.Header) { header.Set("If-None-Match", "*") }
}
