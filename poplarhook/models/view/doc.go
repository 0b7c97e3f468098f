// Package view defines a host's view of the items of one kind in the store.
package view
