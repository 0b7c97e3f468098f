package main

import (
	"os"

	"poplarhook.example/standin/cmd"
)

func main() {
	os.Exit(cmd.Run(os.Args[1:], os.Stdout, os.Stderr))
}
