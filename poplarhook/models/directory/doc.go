// Package directory holds the platform's host list arranged by group.
package directory
