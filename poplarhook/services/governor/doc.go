// Package governor keeps what a host sends for control within its budget.
package governor
