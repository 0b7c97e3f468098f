// Package wire holds the generated messages that entry hosts exchange.
package wire
