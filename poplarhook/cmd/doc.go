// Package cmd implements the subcommands of poplarhook, one file for each.
package cmd
