// Package result holds the measured result of a run in its JSON form.
package result
