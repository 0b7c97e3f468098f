// Package caller answers the callers' side of an entry host.
package caller
