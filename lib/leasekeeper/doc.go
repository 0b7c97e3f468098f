// Package leasekeeper does the calls to the store that a leaser asks for.
package leasekeeper
