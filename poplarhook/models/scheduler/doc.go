// Package scheduler decides when each peer gets a heartbeat and which member's state the heartbeat includes.
package scheduler
