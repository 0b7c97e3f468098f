// Package picker picks endpoints by what one entry host knows alone.
package picker
