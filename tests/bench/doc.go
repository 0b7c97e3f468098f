// Command bench compares the policies for choosing endpoints by measurements on running fleets.
package main
