// Package object holds one object of the store.
package object
