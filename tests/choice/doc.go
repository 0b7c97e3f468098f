// Package choice picks a user's deployment and load by name.
package choice
