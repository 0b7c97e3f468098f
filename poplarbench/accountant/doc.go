// Package accountant compares what callers were told with what endpoints executed.
package accountant
