// Package lender decides, at the owner of a group of endpoints, which borrower may send requests to which endpoint.
//
// A right is one unit of a borrower's demand: it entitles to one request in flight. It waits until the lender answers
// it with a credit for one endpoint. Credits are scarce for a borrower while rights of other borrowers wait. An open
// endpoint may be granted, a closed one may not.
package lender
