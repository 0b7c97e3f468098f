// Package violation holds one fault of a configuration, with its place and what is allowed there.
package violation
