// Package admitter decides whether a request is sent to an endpoint, waits at its entry host or is refused.
package admitter
