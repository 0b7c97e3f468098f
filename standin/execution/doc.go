// Package execution holds the record of one execution at an endpoint.
package execution
