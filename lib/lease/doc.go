// Package lease defines the lease on cold work and its encoding in the object store.
package lease
