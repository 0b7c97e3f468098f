package process

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const maxLineBytes = 1 << 20

var (
	// ErrNotReady is returned when a program prints no ready line in time or ends before it.
	ErrNotReady = errors.New("program not ready")
	// ErrEnded is returned by Stop when the program had ended without being asked to.
	ErrEnded = errors.New("program ended by itself")
	// ErrKilled is returned by Stop when the program did not end by itself in time.
	ErrKilled = errors.New("program had to be killed")
)

// Process is one running program whose output goes to files.
type Process struct {
	name  string
	cmd   *exec.Cmd
	ready chan []byte
	done  chan struct{}
	err   error
	// asked is set before the program is sent a signal to end.
	asked atomic.Bool
}

// Start starts a program whose output goes to the files name.stdout and name.stderr of a folder.
// The system kills the program when its parent dies.
func Start(name, program, logFolder string, environment []string, arguments ...string) (*Process, error) {
	stderr, err := appendTo(filepath.Join(logFolder, name+".stderr"))
	if err != nil {
		return nil, err
	}
	defer stderr.Close()
	stdout, err := appendTo(filepath.Join(logFolder, name+".stdout"))
	if err != nil {
		return nil, err
	}
	p := &Process{name: name, ready: make(chan []byte, 1), done: make(chan struct{})}
	// No context ends the program: each test ends it by the signal that it means.
	p.cmd = exec.Command(program, arguments...) //nolint:noctx // see above
	p.cmd.Env = append(os.Environ(), environment...)
	p.cmd.Stderr = stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pipe, err := p.cmd.StdoutPipe()
	if err != nil {
		stdout.Close()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	if err := p.cmd.Start(); err != nil {
		stdout.Close()
		return nil, errors.Wrapf(err, "starting %s", name)
	}
	go p.follow(pipe, stdout)
	return p, nil
}

// Name returns the name under which the process was started.
func (p *Process) Name() string {
	return p.name
}

// ID returns the process id.
func (p *Process) ID() int {
	return p.cmd.Process.Pid
}

// Done is closed when the program has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Ready waits for the first line of output and reads it as JSON, or returns ErrNotReady.
func (p *Process) Ready(ctx context.Context, into any) error {
	select {
	case line := <-p.ready:
		return errors.Wrapf(json.Unmarshal(line, into), "ready line of %s", p.name)
	case <-p.done:
		return errors.Wrapf(ErrNotReady, "%s ended: %v", p.name, p.err)
	case <-ctx.Done():
		return errors.Wrapf(ErrNotReady, "%s: %v", p.name, ctx.Err())
	}
}

// Kill ends the program at once.
func (p *Process) Kill() error {
	p.asked.Store(true)
	return p.signal(syscall.SIGKILL)
}

// Terminate asks the program to stop gracefully.
func (p *Process) Terminate() error {
	p.asked.Store(true)
	return p.signal(syscall.SIGTERM)
}

// Freeze holds the program until Thaw, with its connections open.
func (p *Process) Freeze() error {
	return p.signal(syscall.SIGSTOP)
}

// Thaw lets a frozen program go on.
func (p *Process) Thaw() error {
	return p.signal(syscall.SIGCONT)
}

// Stop terminates the program and waits; it kills it and returns ErrKilled when the time is over.
func (p *Process) Stop(limit time.Duration) error {
	if p.hasEnded() {
		return p.ending()
	}
	_ = p.Terminate()
	// A frozen program can end only after it goes on.
	_ = p.Thaw()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return errors.Wrapf(p.err, "%s after SIGTERM", p.name)
	case <-timer.C:
		_ = p.Kill()
		<-p.done
		return errors.Wrapf(ErrKilled, "%s still ran %s after SIGTERM", p.name, limit)
	}
}

func (p *Process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ending returns ErrEnded unless the program was asked to end.
func (p *Process) ending() error {
	if p.asked.Load() {
		return nil
	}
	return errors.Wrapf(ErrEnded, "%s: %v", p.name, p.err)
}

func (p *Process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "sending %s to %s", s, p.name)
}

// follow copies the output, hands on its first line, and reports the program's end by closing done.
func (p *Process) follow(pipe io.Reader, file *os.File) {
	defer close(p.done)
	defer file.Close()
	reader := bufio.NewReaderSize(io.TeeReader(pipe, file), maxLineBytes)
	if line, err := reader.ReadSlice('\n'); err == nil {
		p.ready <- append([]byte(nil), line...)
	}
	_, _ = io.Copy(io.Discard, reader)
	p.err = p.cmd.Wait()
}

func appendTo(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return file, errors.Wrap(err, "opening a log file")
}
