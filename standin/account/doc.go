// Package account holds counters and executions of simulated endpoints, for tests to check.
package account
