// Package index holds the small object that names every document in force.
package index
