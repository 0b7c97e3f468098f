// Package authorizer finds the team that a bearer token stands for.
package authorizer
