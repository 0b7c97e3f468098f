// Package demand holds what a borrower asks of the owner of a group.
package demand
