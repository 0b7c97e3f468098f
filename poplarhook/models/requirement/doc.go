// Package requirement defines what a request requires of the endpoint that it is bound to.
package requirement
