// Package seconder decides when an unanswered idempotent request is sent a second time so that it still meets its target.
package seconder
