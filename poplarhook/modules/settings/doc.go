// Package settings holds every setting of the entry process with its default and check.
package settings
