// Package certifier provides the TLS settings by which this host and its peers authenticate each other, and reloads the
// certificates when they change.
package certifier
