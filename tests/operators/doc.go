// Package operators tests what operators are told against what the store holds.
package operators
