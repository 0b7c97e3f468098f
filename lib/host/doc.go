// Package host defines a host as the platform lists it.
package host
