// Package authorizer finds the team that owns a bearer token.
package authorizer
