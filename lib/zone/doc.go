// Package zone defines an availability zone as operators see it.
package zone
