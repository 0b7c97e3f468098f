// Package soak runs the real gateways as separate processes under random faults and checks what callers and endpoints see.
package soak
