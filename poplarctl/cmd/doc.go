// Package cmd holds the subcommands of poplarctl, one file for each.
package cmd
