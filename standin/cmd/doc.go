// Package cmd holds the subcommands of standin.
package cmd
