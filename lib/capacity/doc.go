// Package capacity defines how many requests one endpoint may have in flight.
package capacity
