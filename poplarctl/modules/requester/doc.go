// Package requester sends requests to the administration API of entry hosts.
package requester
