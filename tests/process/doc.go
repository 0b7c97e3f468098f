// Package process starts one program, reads its ready line and signals it by its own id.
package process
