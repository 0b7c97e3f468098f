// Package execution defines an endpoint's record of the execution of one request.
package execution
