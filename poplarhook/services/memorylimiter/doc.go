// Package memorylimiter limits the memory of the bodies and large heads of all requests of a process.
package memorylimiter
