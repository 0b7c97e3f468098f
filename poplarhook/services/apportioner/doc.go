// Package apportioner apportions the requests of this host to the versions of each service and counts how the versions
// answer.
package apportioner
