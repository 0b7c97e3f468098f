// Package server runs one HTTP listener until its context ends.
package server
