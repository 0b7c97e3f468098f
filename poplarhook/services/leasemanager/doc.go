// Package leasemanager manages the leases that a host must hold to give work to cold endpoints.
package leasemanager
