// Package governor limits a host's control traffic to its budget.
package governor
