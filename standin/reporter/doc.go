// Package reporter gives out load reports that may lag.
package reporter
