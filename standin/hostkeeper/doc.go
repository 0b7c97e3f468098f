// Package hostkeeper plays the platform's list of hosts, with its lag.
package hostkeeper
