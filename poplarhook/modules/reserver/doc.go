// Package reserver limits the memory that many concurrent users take together.
package reserver
