// Package locator combines the host list with the configuration to find the groups and endpoints that serve a class.
package locator
