// Package hedger computes the delay after which an unanswered idempotent request is hedged, that is sent a second time.
package hedger
