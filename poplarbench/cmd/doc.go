// Package cmd implements the subcommands of poplarbench, one file for each.
package cmd
