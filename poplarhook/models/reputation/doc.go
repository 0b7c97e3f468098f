// Package reputation tracks the recent failure rate of endpoints.
package reputation
