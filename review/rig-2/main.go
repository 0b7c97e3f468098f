// Command rig2 plays the cases of the second review: it starts the project's entry processes beside stand-ins of the
// store, of servers and of clients, on loopback addresses, and checks one rule from what the stand-ins see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Results of a case, which are the exit codes.
const (
	held    = 0
	broken  = 1
	unready = 2
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

var cases = map[string]func(dir string, r *Record, trouble bool) int{
	"quota":  playQuota,
	"revoke": playRevoke,
	"entry":  playEntry,
	"stop":   playStop,
	"break":  playBreak,
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return unready
	}
	dir, err := os.MkdirTemp("", "rig2-")
	check(err)
	if os.Getenv("RIG_KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	record := NewRecord(filepath.Join(os.Args[2], "record.txt"))
	defer record.Close()
	defer func() {
		if p := recover(); p != nil {
			record.Line("the case could not run: %v", p)
			fmt.Println("the case could not run:", p)
			code = unready
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Line("case %s, with the disruption: %t", os.Args[1], trouble)
	code = cases[os.Args[1]](dir, record, trouble)
	record.Line("result %d (0 the rule held, 1 it was broken, 2 the case could not run)", code)
	fmt.Println("result", code)
	return code
}
