// Package forwarder relays TCP connections over a simulated link that can delay, interrupt, silence and reset them.
package forwarder
