// Package binding defines the binding of a request to an endpoint.
package binding
