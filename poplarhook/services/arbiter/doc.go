// Package arbiter makes the decisions of one entry host about one group: as a borrower of credits and, while the host
// owns the group, also as the lender of the group's credits.
package arbiter
