// Package reporter writes the result of a run as JSON or as a text table.
package reporter
