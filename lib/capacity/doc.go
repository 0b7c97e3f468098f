// Package capacity holds how much work one endpoint may have in flight.
package capacity
