package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"poplarhook.example/poplarctl/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := cmd.Execute(ctx, os.Args[1:], os.Stdin, os.Stdout, time.Now)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "poplarctl: %v\n", err)
		os.Exit(cmd.ExitCode(err))
	}
}
