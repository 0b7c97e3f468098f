// Package assembler builds the snapshot of the configuration from an index and the documents that it names.
package assembler
