// Package borrower binds an entry host's waiting requests to the credits that it has.
package borrower
