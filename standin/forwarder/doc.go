// Package forwarder relays TCP connections over a link that can delay, cut and forget them.
package forwarder
