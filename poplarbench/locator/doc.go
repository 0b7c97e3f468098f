// Package locator looks up the region of an endpoint in the platform's host list.
package locator
