// Package leaser decides when a host acquires, renews, confirms and releases the lease on cold work.
package leaser
