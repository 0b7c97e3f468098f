// Package belief holds what an entry host knows and from where, for its dump.
package belief
