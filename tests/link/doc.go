// Package link controls the relay stand-in that plays a link between two processes.
package link
