// Package limit defines the limits on requests of callers.
package limit
