// Package scheduler decides when each peer gets a heartbeat and which member the heartbeat names.
package scheduler
