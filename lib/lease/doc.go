// Package lease holds the lease on cold work as the store keeps it.
package lease
