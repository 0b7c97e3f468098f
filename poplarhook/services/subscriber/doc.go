// Package subscriber reads what another entry host hears from the store.
package subscriber
