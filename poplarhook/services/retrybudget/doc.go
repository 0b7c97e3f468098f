// Package retrybudget keeps, for each service, one budget of repeated requests (hedges and retries) that
// concurrent requests share.
package retrybudget
