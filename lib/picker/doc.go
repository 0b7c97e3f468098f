// Package picker picks endpoints by the local state of one entry host.
package picker
