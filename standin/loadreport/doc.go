// Package loadreport holds the load report that an endpoint sends with its responses.
package loadreport
