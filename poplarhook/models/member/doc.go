// Package member defines the known state of one entry host.
package member
