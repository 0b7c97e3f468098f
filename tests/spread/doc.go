// Package spread holds the lowest, middle and highest of several measurements.
package spread
