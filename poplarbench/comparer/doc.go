// Package comparer writes the results of two runs side by side.
package comparer
