// Package frame defines the lines of the stream in which one entry host passes on the store's content to another.
package frame
