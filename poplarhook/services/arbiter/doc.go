// Package arbiter makes the decisions of one entry host about one group: as a borrower of credits and, while the host
// owns the group, also as the lender of the group's credits.
//
// An endpoint is open if it may get new requests. A holding frame reports to the owner how many requests of a borrower
// are in flight at an endpoint; a sighting frame reports a change of an endpoint's state that a host observed.
package arbiter
