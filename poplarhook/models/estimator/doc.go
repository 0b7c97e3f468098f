// Package estimator estimates how long an endpoint will take for a request.
package estimator
