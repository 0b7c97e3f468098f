// Package entry builds an entry host from its parts and runs it.
package entry
