// Package controllimiter limits a host's control traffic to its budget.
package controllimiter
