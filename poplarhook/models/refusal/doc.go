// Package refusal defines the errors of requests that end without a complete answer from an endpoint.
package refusal
