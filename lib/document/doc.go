// Package document defines the configuration that one team declares.
package document
