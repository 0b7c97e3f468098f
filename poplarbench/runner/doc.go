// Package runner sends the requests of a schedule in an open loop and collects their outcomes.
package runner
