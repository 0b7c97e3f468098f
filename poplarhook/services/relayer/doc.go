// Package relayer distributes each accepted configuration to all entry hosts, also while the store is unavailable.
package relayer
