// Package archiver keeps the configurations that a host has applied most recently.
package archiver
