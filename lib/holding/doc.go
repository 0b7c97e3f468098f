// Package holding holds what a borrower has in flight at an endpoint.
package holding
