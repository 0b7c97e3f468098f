// Package usage reads the processor time and memory that a process uses.
package usage
