// Package assembler puts the snapshot together that an index names.
package assembler
