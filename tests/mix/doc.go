// Package mix defines the mixes of requests that the callers of the two users' deployments send.
package mix
