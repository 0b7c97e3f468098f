// Package demand defines the request of a borrower for credits, sent to the owner of a group.
//
// A right is one unit of a demand: it entitles to one request in flight and is answered by a credit.
package demand
