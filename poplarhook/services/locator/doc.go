// Package locator joins the host list with the configuration: where a class may be served, and by which endpoints.
package locator
