// Package lender decides, at the owner of a group of endpoints, which borrower may send requests to which endpoint.
package lender
