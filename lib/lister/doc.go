// Package lister reads the platform's list of hosts.
package lister
