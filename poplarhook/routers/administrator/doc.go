// Package administrator handles the HTTP requests of operators and monitoring on an entry host.
package administrator
