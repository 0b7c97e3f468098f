// Package admitter decides whether a request is sent, waits at its entry host or is refused.
package admitter
