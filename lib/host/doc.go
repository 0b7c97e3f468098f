// Package host holds one host of the platform's list.
package host
