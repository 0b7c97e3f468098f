// Package soak runs entry hosts as separate processes (poplarhook gateway) under random faults, and checks the answers
// that callers get against the requests that endpoints run.
package soak
