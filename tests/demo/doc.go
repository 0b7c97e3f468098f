// Command demo runs the whole system against stand-ins for a bounded time.
package main
