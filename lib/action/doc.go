// Package action defines what must be done after an event at a borrower.
package action
