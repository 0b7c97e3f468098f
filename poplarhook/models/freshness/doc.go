// Package freshness decides whether a host's configuration was confirmed recently enough to accept keys.
package freshness
