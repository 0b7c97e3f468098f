// Package scheduler generates the arrivals of a scenario, which are the same for the same scenario and seed.
package scheduler
