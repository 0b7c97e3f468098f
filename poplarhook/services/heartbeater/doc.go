// Package heartbeater sends heartbeats to other entry hosts and records those that it receives from them.
package heartbeater
