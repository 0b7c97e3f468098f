package soak

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
)

// logContains reports whether the log of the entry host's latest process contains the text.
func (env *environment) logContains(e *entry, text string) bool {
	log, err := os.ReadFile(filepath.Join(env.folder, e.process.Name()+".stdout"))
	return err == nil && bytes.Contains(log, []byte(text))
}

// A reload signal (SIGHUP) ends no process, not even one that has just started or is stopping.
func TestReloadSignalEndsNoProcess(t *testing.T) {
	c := qt.New(t)
	env := newEnvironment(t)
	e := env.entries[0]
	c.Assert(e.process.Terminate(), qt.IsNil)
	awaiter.New(5*time.Millisecond).Await(t, 5*time.Second, "the stop has begun", func() bool { return env.logContains(e, "stopping: no longer ready") })
	c.Assert(syscall.Kill(e.process.ID(), syscall.SIGHUP), qt.IsNil)
	awaiter.New(5*time.Millisecond).Await(t, 5*time.Second, "settings are read during the stop", func() bool { return env.logContains(e, "settings read again") })
	c.Assert(e.process.Stop(10*time.Second), qt.IsNil, qt.Commentf("the stop did not complete"))
	c.Assert(env.logContains(e, `"msg":"stopped"`), qt.IsTrue)

	env.startEntryProcess(e)
	awaiter.New(time.Millisecond).Await(t, 10*time.Second, "the process starts", func() bool { return env.logContains(e, `"msg":"starting"`) })
	for range 20 {
		c.Assert(syscall.Kill(e.process.ID(), syscall.SIGHUP), qt.IsNil)
	}
	awaiter.New(5*time.Millisecond).Await(t, 10*time.Second, "the entry host is ready or has ended", func() bool { return e.isReady() || e.hasEnded() })
	c.Assert(e.hasEnded(), qt.IsFalse)
}

// A reload with invalid settings keeps the previous settings, and the entry host stays ready.
func TestReloadRejectsInvalidSettings(t *testing.T) {
	c := qt.New(t)
	env := newEnvironment(t)
	e := env.entries[0]
	valid, err := os.ReadFile(e.path)
	c.Assert(err, qt.IsNil)
	bad := strings.Replace(string(valid), `"retry_window_s":10`, `"retry_window_s":0`, 1)
	c.Assert(bad, qt.Not(qt.Equals), string(valid))
	c.Assert(os.WriteFile(e.path, []byte(bad), 0o600), qt.IsNil)
	c.Assert(syscall.Kill(e.process.ID(), syscall.SIGHUP), qt.IsNil)
	awaiter.New(5*time.Millisecond).Await(t, 5*time.Second, "the error names the field", func() bool { return env.logContains(e, "bounds.retry_window_s") })
	c.Assert(e.isReady(), qt.IsTrue)
}
