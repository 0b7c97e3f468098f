// Package failures holds tests that bring a failure about in a running fleet and check what must hold all the same.
package failures
