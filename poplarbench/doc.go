// Command poplarbench offers open-loop load and accounts for every request.
package main
