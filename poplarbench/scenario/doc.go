// Package scenario holds the load that a run offers, read from a scenario file.
package scenario
