// Package cmd holds the subcommands of poplarhook, one file for each.
package cmd
