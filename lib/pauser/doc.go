// Package pauser lets time pass until a context ends.
package pauser
