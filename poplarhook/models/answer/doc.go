// Package answer holds an endpoint's answer on its way to the caller.
package answer
