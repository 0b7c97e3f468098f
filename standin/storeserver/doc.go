// Package storeserver simulates the platform's object store in memory, with injected faults.
package storeserver
