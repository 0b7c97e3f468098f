// Package cmd holds the subcommands of poplarbench, one file each.
package cmd
