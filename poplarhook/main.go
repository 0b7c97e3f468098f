package main

import (
	"fmt"
	"os"

	"poplarhook.example/poplarhook/cmd"
)

func main() {
	if err := cmd.Execute(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "poplarhook: %v\n", err)
		os.Exit(1)
	}
}
