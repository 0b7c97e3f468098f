// Package pacer keeps control traffic within a budget of bytes per second.
package pacer
