// Package archiver keeps the configurations that a host has had in force of late.
package archiver
