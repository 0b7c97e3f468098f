// Package chooser binds requests to endpoints using only what this host knows, without the other entry hosts; it is
// the baseline for measurements.
package chooser
