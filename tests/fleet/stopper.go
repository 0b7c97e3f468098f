package fleet

import (
	stderrors "errors"
	"os"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/tests/process"
)

// Process returns the running or last process of a name: PlatformName, the id of an entry host,
// "endpoints", or "endpoints-ZONE" when each zone has a process.
func (f *Fleet) Process(name string) (*process.Process, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if p.Name() == name {
			return p, nil
		}
	}
	return nil, errors.Wrapf(ErrUnknown, "process %q", name)
}

// Processes returns all processes, in the order of their start.
func (f *Fleet) Processes() []*process.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*process.Process(nil), f.processes...)
}

// Kill ends a process at once and waits for its end.
func (f *Fleet) Kill(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	if err := p.Kill(); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Freeze holds a process until Thaw, with its connections open.
func (f *Fleet) Freeze(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	return p.Freeze()
}

// Thaw lets a frozen process go on.
func (f *Fleet) Thaw(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	return p.Thaw()
}

// Terminate stops a process gracefully and waits for its end, bounded by the stop timeout.
func (f *Fleet) Terminate(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	return p.Stop(f.stopTimeout)
}

// Stop stops the entry hosts, then the endpoints, then the platform, each layer at once and in bounded time.
// It returns what ended by itself, with an error, or had to be killed; no process is left in any case.
func (f *Fleet) Stop() error {
	var failures []error
	for _, layer := range f.layers() {
		failures = append(failures, stopAll(layer, f.stopTimeout)...)
	}
	if f.store != nil {
		f.store.Close()
	}
	if len(failures) == 0 && f.ownsLogFolder {
		failures = append(failures, os.RemoveAll(f.logFolder))
	}
	return stderrors.Join(failures...)
}

// layers returns the processes in the order in which they stop.
func (f *Fleet) layers() [3][]*process.Process {
	entryIDs := make(map[string]bool)
	for _, entry := range f.Entries() {
		entryIDs[entry.ID] = true
	}
	var layers [3][]*process.Process
	for _, p := range f.Processes() {
		switch {
		case entryIDs[p.Name()]:
			layers[0] = append(layers[0], p)
		case p.Name() == PlatformName:
			layers[2] = append(layers[2], p)
		default:
			layers[1] = append(layers[1], p)
		}
	}
	return layers
}

func stopAll(processes []*process.Process, limit time.Duration) []error {
	ends := make(chan error, len(processes))
	for _, p := range processes {
		go func() { ends <- p.Stop(limit) }()
	}
	var failures []error
	for range processes {
		if err := <-ends; err != nil {
			failures = append(failures, err)
		}
	}
	return failures
}

// killAll ends every process without grace, after a start that failed.
func (f *Fleet) killAll() {
	for _, p := range f.Processes() {
		_ = p.Kill()
		<-p.Done()
	}
}
