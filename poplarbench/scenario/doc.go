// Package scenario defines the load of a run and reads it from a scenario file.
package scenario
