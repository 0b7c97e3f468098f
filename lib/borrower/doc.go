// Package borrower binds the waiting requests of an entry host to the credits that the host has.
//
// A right is one unit of a demand: it entitles the borrower to one request in flight at an endpoint. A right is pending
// from the demand until a credit of the owner answers it, or until it is dropped after its deadline. Credits count as
// scarce for a short time after the owner reported that other borrowers are waiting.
package borrower
