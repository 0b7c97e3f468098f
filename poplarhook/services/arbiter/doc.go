// Package arbiter decides for one group at one entry host: as a borrower of credits and, while the host owns the
// group, also as the lender of the group's credits.
package arbiter
