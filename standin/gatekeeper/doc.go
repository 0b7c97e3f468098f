// Package gatekeeper accepts an endpoint's connections, bounds them and lets them fail.
package gatekeeper
