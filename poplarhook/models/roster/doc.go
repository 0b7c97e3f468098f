// Package roster decides which entry hosts are live from the heartbeats received from them.
package roster
