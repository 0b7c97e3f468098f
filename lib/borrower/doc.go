// Package borrower binds the waiting requests of an entry host to the credits that the host has.
package borrower
