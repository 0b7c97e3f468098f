// Package spending holds what control traffic has cost, for dumps and counters.
package spending
