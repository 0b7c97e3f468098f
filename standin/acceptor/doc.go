// Package acceptor accepts an endpoint's connections, limits their number and injects connection faults.
package acceptor
