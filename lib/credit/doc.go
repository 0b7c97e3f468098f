// Package credit defines the right to have requests in flight at an endpoint.
package credit
