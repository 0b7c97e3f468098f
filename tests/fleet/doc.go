// Package fleet runs a whole deployment as separate processes on the loopback interface.
//
// It starts the stand-ins and the entry hosts from a folder of built programs, applies the deployment's
// configuration, and ends every process that it started, by its own id and in bounded time.
package fleet
