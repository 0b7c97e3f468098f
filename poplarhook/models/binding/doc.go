// Package binding holds the bond of one request to one endpoint.
package binding
