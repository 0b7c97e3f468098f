// Package hedgeplanner decides when an unanswered idempotent request is hedged so that it still meets its latency
// target.
package hedgeplanner
