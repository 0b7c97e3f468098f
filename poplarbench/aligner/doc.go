// Package aligner formats rows of text as a table with aligned columns.
package aligner
