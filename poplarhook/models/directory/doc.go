// Package directory indexes the platform's host list by group and address.
package directory
