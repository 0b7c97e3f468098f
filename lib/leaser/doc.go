// Package leaser decides when a host takes, renews, proves and gives up the lease on cold work.
package leaser
