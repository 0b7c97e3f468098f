// Command rig runs one case of the review: it starts stand-ins of the platform's store, of servers and of clients, runs
// gateways as separate processes, and checks one rule by what the stand-ins saw.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(c *run) (broken bool, err error){
	"stray":    runStray,
	"upload":   runUpload,
	"pipeline": runPipeline,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE GATEWAY_PROGRAM RECORD_FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

func runCase(name, program, recordPath string) int {
	c, err := newRun(program, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		c.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[name](c)
	switch {
	case err != nil:
		c.record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case broken:
		c.record("RESULT: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		c.record("RESULT: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
