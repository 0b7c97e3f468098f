// Package loadreport holds what an endpoint reports about its load.
package loadreport
