package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file with what was sent, answered and run. Times are seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	check(err)
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}
}

// Line writes one line with the time.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
