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
	// clockTick is the unit of processor time in /proc; it is the same on every Linux platform that Go supports.
	clockTick = 10 * time.Millisecond
	// userField and systemField are indices of /proc/PID/stat, counted from the field after the program's name.
	userField   = 11
	systemField = 12
	// residentField is the index of the resident memory in /proc/PID/statm, which is in pages.
	residentField = 1
)

// ErrFormat is returned for a file in /proc whose content can't be parsed.
var ErrFormat = errors.New("unexpected format")

// Usage is the processor time that a process has used since its start and the memory that it uses now.
type Usage struct {
	// ProcessorTime is the time spent on all processors, with a resolution of 10 ms.
	ProcessorTime time.Duration
	// ResidentBytes is the size of the resident memory.
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

// Plus returns the sum of the usage of two processes.
func (u Usage) Plus(other Usage) Usage {
	return Usage{ProcessorTime: u.ProcessorTime + other.ProcessorTime, ResidentBytes: u.ResidentBytes + other.ResidentBytes}
}

func parse(stat, memory string) (Usage, error) {
	// The program's name is in brackets and may contain spaces and brackets.
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
		ProcessorTime: time.Duration(numbers[0]+numbers[1]) * clockTick,
		ResidentBytes: numbers[2] * int64(os.Getpagesize()),
	}, nil
}
