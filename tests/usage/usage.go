package usage

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// tick is the unit of processor time in /proc, the same on every Linux platform of Go.
	tick = 10 * time.Millisecond
	// Fields of /proc/PID/stat, counted from the one after the program's name.
	userField   = 11
	systemField = 12
	// residentField is that of /proc/PID/statm, in pages.
	residentField = 1
)

// ErrFormat is returned for a file of /proc that is not as expected.
var ErrFormat = errors.New("unexpected format")

// Usage is what a process has used so far and holds now.
type Usage struct {
	// Processor is the time spent on all processors, in steps of 10 ms.
	Processor time.Duration
	// ResidentBytes is the memory now in use.
	ResidentBytes int64
}

// Read returns the usage of a running process.
func Read(pid int) (Usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(folder, "stat"))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of process %d", pid)
	}
	memory, err := os.ReadFile(filepath.Join(folder, "statm"))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "usage of process %d", pid)
	}
	return parse(string(stat), string(memory))
}

// Plus returns the usage of two processes together.
func (u Usage) Plus(other Usage) Usage {
	return Usage{Processor: u.Processor + other.Processor, ResidentBytes: u.ResidentBytes + other.ResidentBytes}
}

func parse(stat, memory string) (Usage, error) {
	// The name stands in brackets and may hold spaces.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	pages := strings.Fields(memory)
	if len(fields) <= systemField || len(pages) <= residentField {
		return Usage{}, errors.Wrapf(ErrFormat, "stat %q, statm %q", stat, memory)
	}
	var numbers [3]int64
	for i, text := range []string{fields[userField], fields[systemField], pages[residentField]} {
		number, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return Usage{}, errors.Wrapf(ErrFormat, "%v", err)
		}
		numbers[i] = number
	}
	return Usage{
		Processor:     time.Duration(numbers[0]+numbers[1]) * tick,
		ResidentBytes: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
