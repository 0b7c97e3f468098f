// Package payload holds the body of a request in pieces, so that it is never copied as a whole.
package payload
