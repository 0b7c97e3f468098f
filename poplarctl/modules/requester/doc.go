// Package requester speaks to the administration API of entry hosts.
package requester
