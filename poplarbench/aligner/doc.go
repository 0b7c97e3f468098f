// Package aligner writes rows of text in aligned columns.
package aligner
