// Package hedger decides after which time an unanswered idempotent request is sent once more.
package hedger
