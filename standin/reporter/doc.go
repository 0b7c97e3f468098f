// Package reporter returns load reports that may be delayed by a set lag.
package reporter
