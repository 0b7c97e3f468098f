// Package link controls the relay stand-in, which simulates a network link between two processes.
package link
