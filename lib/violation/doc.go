// Package violation defines the errors of an invalid configuration: the field, its value and what is allowed there.
package violation
