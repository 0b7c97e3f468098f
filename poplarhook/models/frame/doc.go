// Package frame holds the lines by which one entry host tells another what the store holds.
package frame
