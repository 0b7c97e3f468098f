// Package outcome defines the outcome of one request as its caller saw it.
package outcome
