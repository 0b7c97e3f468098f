// Command poplarbench is an open-loop load generator. It compares the outcome of every request with the executions that
// the endpoints recorded.
package main
