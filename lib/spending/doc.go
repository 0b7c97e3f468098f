// Package spending defines the statistics of control traffic that dumps and metrics show.
package spending
