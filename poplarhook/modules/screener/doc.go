// Package screener notices requests that declare their length in two ways.
package screener
