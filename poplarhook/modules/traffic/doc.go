// Package traffic holds the counts of what crossed the links to other entry hosts.
package traffic
