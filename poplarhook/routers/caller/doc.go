// Package caller handles the HTTP requests of callers on an entry host.
package caller
