// Package effect defines the actions that result from a decision about a group.
package effect
