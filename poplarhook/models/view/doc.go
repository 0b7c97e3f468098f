// Package view holds what a host believes of the items of one kind.
package view
