// Package certifier proves this host to its peers and checks theirs, by keys that may change while it runs.
package certifier
