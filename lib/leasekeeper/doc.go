// Package leasekeeper makes the calls to the object store that a leaser requests.
package leasekeeper
