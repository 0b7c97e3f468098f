// Command poplarhook is a program of poplarhook.
package main
