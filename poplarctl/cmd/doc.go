// Package cmd implements the subcommands of poplarctl, one file for each.
package cmd
