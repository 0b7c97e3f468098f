// Package leasestep defines the next step that a leaser requests from its caller.
package leasestep
