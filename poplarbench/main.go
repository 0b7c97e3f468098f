package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"poplarhook.example/poplarbench/cmd"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := cmd.Run(ctx, os.Args[1:], os.Stdout, time.Now)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "poplarbench:", err)
		os.Exit(1)
	}
}
