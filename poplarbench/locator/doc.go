// Package locator tells in which region an endpoint stands, by the platform's host list.
package locator
