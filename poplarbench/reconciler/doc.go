// Package reconciler compares the outcomes that callers saw with the executions that endpoints recorded.
package reconciler
