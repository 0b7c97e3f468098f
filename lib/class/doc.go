// Package class defines traffic classes and their targets.
package class
