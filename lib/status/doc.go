// Package status holds what one entry host knows of the hosts and endpoints around it.
package status
