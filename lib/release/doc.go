// Package release defines the message with which a borrower returns credits to the owner of a group.
package release
