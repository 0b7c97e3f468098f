// Package spread summarizes several measurements by their lowest, middle and highest value.
package spread
