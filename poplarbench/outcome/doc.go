// Package outcome holds what became of one request, as its caller saw it.
package outcome
