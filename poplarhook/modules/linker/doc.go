// Package linker maintains one link to each other entry host, with mutual TLS if configured, and exchanges frames
// over it.
package linker
