// Package screener detects HTTP requests that declare the length of their body in two ways.
package screener
