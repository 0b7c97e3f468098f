// Command standin is a program of poplarhook.
package main
