// Package roster decides which entry hosts are live from the heartbeats heard of them.
package roster
