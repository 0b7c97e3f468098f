// Package release holds what a borrower gives back to the owner of a group.
package release
