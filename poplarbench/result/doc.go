// Package result defines the measured result of a run and its JSON form.
package result
