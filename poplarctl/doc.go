// Command poplarctl is the command-line client of the administration API. It changes configuration and availability
// zones, and shows status and state dumps.
package main
