// Package meter keeps the counters of a process and serves them as Prometheus text.
package meter
