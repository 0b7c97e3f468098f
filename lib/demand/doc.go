// Package demand defines the request of a borrower for credits, sent to the owner of a group.
package demand
