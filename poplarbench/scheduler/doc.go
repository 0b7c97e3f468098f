// Package scheduler turns a scenario into arrivals that depend on nothing but its seed.
package scheduler
