// Package fleet runs a complete deployment as separate processes on the loopback interface.
//
// It starts the stand-ins and the entry hosts from a folder of built programs, applies the deployment's
// configuration, and ends every process that it started, by process id and within a time limit.
package fleet
