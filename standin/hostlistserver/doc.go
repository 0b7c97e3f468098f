// Package hostlistserver simulates the platform's list of hosts, with its lag and outages.
package hostlistserver
