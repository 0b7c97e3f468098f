// Package change holds one change of a named item of the store.
package change
