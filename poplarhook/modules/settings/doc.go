// Package settings defines the settings of the entry process with their defaults and checks.
package settings
