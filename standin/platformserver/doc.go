// Package platformserver simulates the whole platform: the object store, the host list and the control API of both.
package platformserver
