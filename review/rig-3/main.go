package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario plays one case and returns how its rule was broken, empty if it held.
type scenario func(d *deployment, trouble bool) (broken string, err error)

// scenarios are those of the cases, and "path" and "revoke", which the report names beside them.
var scenarios = map[string]scenario{
	"chunk":   playChunk,
	"lost":    playLost,
	"smuggle": playSmuggle,
	"unread":  playUnread,
	"revoke":  playRevoke,
	"stop":    playStop,
	"path":    playPath,
}

// Exit statuses of a script.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusNotPlayed = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig-3 SCENARIO REPOSITORY RECORD")
		os.Exit(statusNotPlayed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, root, recordPath string) int {
	scenario, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return statusNotPlayed
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotPlayed
	}
	defer rec.close()
	d, err := newDeployment(root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotPlayed
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(statusNotPlayed)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("scenario %s, trouble %v", name, trouble)
	broken, err := scenario(d, trouble)
	switch {
	case err != nil:
		rec.add("not played: %v", err)
		fmt.Println("not played:", err)
		return statusNotPlayed
	case broken != "":
		rec.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return statusBroken
	default:
		rec.add("held")
		fmt.Println("held")
		return statusHeld
	}
}
