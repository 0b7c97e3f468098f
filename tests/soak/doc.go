// Package soak runs the gateway program in separate processes under random faults, and checks the answers that callers
// get against the requests that endpoints run.
package soak
