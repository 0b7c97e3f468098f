// Package bencher measures the policies side by side on running fleets.
package bencher
