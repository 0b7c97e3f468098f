// Command bench measures the policies side by side on running fleets.
package main
