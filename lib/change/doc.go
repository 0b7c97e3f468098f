// Package change defines a change of a named item in the store.
package change
