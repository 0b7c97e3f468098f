// Package class holds the declared kinds of work and the target of each.
package class
