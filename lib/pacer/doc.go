// Package pacer limits control traffic to a budget of bytes per second.
package pacer
