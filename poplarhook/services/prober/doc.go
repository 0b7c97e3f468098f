// Package prober asks endpoints that get no work how they are.
package prober
