// Command poplarbench is a program of poplarhook.
package main
