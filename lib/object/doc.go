// Package object defines an object of the store.
package object
