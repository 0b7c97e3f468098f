// Package effect holds what a decision about a group wants done.
package effect
