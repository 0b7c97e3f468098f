// Package relayer brings each accepted configuration to every entry host, with or without the store.
package relayer
