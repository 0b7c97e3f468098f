// Package index defines the store object that lists the current document of every team.
package index
