// Package defect describes an entry of a configuration that cannot be read.
package defect
