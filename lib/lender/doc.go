// Package lender decides, at the owner of a group of endpoints, which borrower may send work to which endpoint.
package lender
