// Package replica keeps the newest view of the items of one kind, whether it comes from the store or from another host.
package replica
