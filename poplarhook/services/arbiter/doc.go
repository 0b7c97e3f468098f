// Package arbiter decides for one group at one entry host: as a borrower of credits and, while it owns the group, as their lender.
package arbiter
