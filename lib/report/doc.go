// Package report holds what an endpoint says of itself in its answers.
package report
