// Package failures tests that the guarantees of a running fleet hold while faults are injected into it.
package failures
