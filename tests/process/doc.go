// Package process starts a program, reads the line that it prints when it is ready, and sends signals to its process
// id.
package process
