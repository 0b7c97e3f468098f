// Package reporter writes the result of a run for programs and for people.
package reporter
