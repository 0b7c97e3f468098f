// Package admitter decides which waiting requests cannot be answered in time.
package admitter
