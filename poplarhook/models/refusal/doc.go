// Package refusal holds the ways in which a request ends without an endpoint's answer.
package refusal
