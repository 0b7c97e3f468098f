// Package settler gets a change to an outcome that is known to be true.
package settler
