// Package warden keeps the leases under which a host may give work to cold endpoints.
package warden
