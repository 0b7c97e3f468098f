// Package document holds the configuration that a team declares as a whole.
package document
