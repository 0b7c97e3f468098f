// Package runner drives a scenario in an open loop from its schedule to its outcomes.
package runner
