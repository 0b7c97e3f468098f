// Package limit holds the bounds on what callers may send.
package limit
