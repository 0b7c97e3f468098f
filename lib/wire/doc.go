// Package wire contains the generated messages that entry hosts exchange.
package wire
