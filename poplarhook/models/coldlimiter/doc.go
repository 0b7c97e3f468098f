// Package coldlimiter limits the rate of requests that one entry host sends to cold endpoints.
package coldlimiter
