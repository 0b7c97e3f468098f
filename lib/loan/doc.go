// Package loan holds what one borrower has of one endpoint, for dumps.
package loan
