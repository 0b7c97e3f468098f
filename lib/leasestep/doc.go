// Package leasestep holds what a leaser wants done next.
package leasestep
