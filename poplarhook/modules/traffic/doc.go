// Package traffic defines the traffic counters of the links to other entry hosts.
package traffic
