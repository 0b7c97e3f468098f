// Package action holds what a borrower wants done after an event.
package action
