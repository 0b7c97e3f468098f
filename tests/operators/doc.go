// Package operators tests that the answers to operators' commands agree with the contents of the store.
package operators
