// Package pauser pauses for a duration or until a context ends.
package pauser
