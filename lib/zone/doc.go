// Package zone holds one availability zone as operators see it.
package zone
