// Package choice selects one of the users' deployments, and its load, by name.
package choice
