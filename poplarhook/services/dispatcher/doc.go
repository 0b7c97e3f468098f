// Package dispatcher binds a classified request to an endpoint, sends it and returns the answer,
// with retries and hedges where the class allows them.
package dispatcher
