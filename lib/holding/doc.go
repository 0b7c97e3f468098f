// Package holding defines a holding: the count of requests that a borrower has in flight at an endpoint.
package holding
