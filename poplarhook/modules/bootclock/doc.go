// Package bootclock reads the clock that goes on while the machine is suspended and never jumps.
package bootclock
