// Package bencher compares the policies for choosing endpoints by measurements on running fleets.
package bencher
