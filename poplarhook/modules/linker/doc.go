// Package linker keeps one authenticated link to each other entry host and moves frames over it.
package linker
