// Package report defines the state that an endpoint reports with its answers.
package report
