// Package storekeeper plays the platform's object store in memory, with its faults.
package storekeeper
