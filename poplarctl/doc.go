// Command poplarctl is a program of poplarhook.
package main
