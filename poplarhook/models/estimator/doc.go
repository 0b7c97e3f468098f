// Package estimator estimates how long an endpoint takes to answer a request.
package estimator
