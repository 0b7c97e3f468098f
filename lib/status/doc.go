// Package status defines the status report of an entry host: the hosts and endpoints that it knows.
package status
