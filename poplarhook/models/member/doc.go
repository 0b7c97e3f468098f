// Package member holds what is known of one entry host.
package member
