// Package storer reads, writes and watches the objects of the platform's store.
package storer
