// Package applier writes accepted configurations straight into the store.
package applier
