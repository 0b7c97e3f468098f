// Package binding defines the assignment of a waiting request to an endpoint.
package binding
