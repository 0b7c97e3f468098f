// Package comparer prints two results side by side.
package comparer
