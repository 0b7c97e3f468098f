// Package applier writes accepted configurations directly to the store, without an entry host.
package applier
