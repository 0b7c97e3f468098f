package fleet

import (
	stderrors "errors"
	"os"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/tests/process"
)

// Process returns the last process that was started under a name: PlatformName, the id of an entry host, "endpoints",
// or "endpoints-ZONE" if the endpoints of each zone have a separate process.
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

// Processes returns the last process of each name, in the order in which the names were first started.
func (f *Fleet) Processes() []*process.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*process.Process(nil), f.processes...)
}

// Kill sends SIGKILL to a process and waits for its end.
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

// Freeze suspends a process with SIGSTOP until Thaw; its connections stay open.
func (f *Fleet) Freeze(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	return p.Freeze()
}

// Thaw resumes a frozen process with SIGCONT.
func (f *Fleet) Thaw(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	return p.Thaw()
}

// Terminate stops a process gracefully and waits for its end; it kills the process after the stop timeout.
func (f *Fleet) Terminate(name string) error {
	p, err := f.Process(name)
	if err != nil {
		return err
	}
	return p.Stop(f.stopTimeout)
}

// Stop stops the entry hosts, then the endpoints and other processes, and the platform last. The processes of each of
// these layers are stopped concurrently, within the stop timeout.
// The returned error joins those of the processes that ended unexpectedly or with an error or had to be killed. No
// process is left running in any case.
func (f *Fleet) Stop() error {
	var errs []error
	for _, layer := range f.processesByLayer() {
		errs = append(errs, stopAll(layer, f.stopTimeout)...)
	}
	if f.store != nil {
		f.store.Close()
	}
	if len(errs) == 0 && f.ownsLogFolder {
		errs = append(errs, os.RemoveAll(f.logFolder))
	}
	return stderrors.Join(errs...)
}

// processesByLayer returns the processes in the three layers that Stop stops one after the other.
func (f *Fleet) processesByLayer() [3][]*process.Process {
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

// stopAll stops the processes concurrently and returns the errors that occurred.
func stopAll(processes []*process.Process, limit time.Duration) []error {
	results := make(chan error, len(processes))
	for _, p := range processes {
		go func() { results <- p.Stop(limit) }()
	}
	var errs []error
	for range processes {
		if err := <-results; err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// killAll sends SIGKILL to every process and waits for its end; it is used after a failed start.
func (f *Fleet) killAll() {
	for _, p := range f.Processes() {
		_ = p.Kill()
		<-p.Done()
	}
}
