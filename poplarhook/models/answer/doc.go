// Package answer defines the response of an endpoint while it is passed on to the caller.
package answer
