package fleet

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/storer"
	"poplarhook.example/tests/applier"
	"poplarhook.example/tests/process"
)

const anyPort = "127.0.0.1:0"

// standinReady is the ready line of a stand-in.
type standinReady struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// endpointsReady is the ready line of a process that plays endpoints.
type endpointsReady struct {
	Ready   bool        `json:"ready"`
	Control string      `json:"control"`
	Hosts   []host.Host `json:"hosts"`
}

// entryReady is the ready line of an entry host.
type entryReady struct {
	Event        string `json:"event"`
	HostID       string `json:"host_id"`
	Address      string `json:"address"`
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := f.launchPlatform(ctx, PlatformName)
	if err != nil {
		return err
	}
	f.platform = address
	f.store = storer.New(f.PlatformURL())
	f.applier = applier.New(f.store, f.clock)
	return nil
}

// launchPlatform starts a platform stand-in under a name and returns its address.
func (f *Fleet) launchPlatform(ctx context.Context, name string) (string, error) {
	p, err := f.launch(name, "standin", nil, "platform", "--listen", anyPort)
	if err != nil {
		return "", err
	}
	var ready standinReady
	if err := p.Ready(ctx, &ready); err != nil {
		return "", err
	}
	return ready.Address, nil
}

// startEndpoints starts all endpoint processes before it waits for any.
func (f *Fleet) startEndpoints(ctx context.Context) error {
	var started []*process.Process
	for _, part := range f.endpointParts() {
		p, err := f.startEndpointPart(part)
		if err != nil {
			return err
		}
		started = append(started, p)
	}
	for _, p := range started {
		var ready endpointsReady
		if err := p.Ready(ctx, &ready); err != nil {
			return err
		}
		f.controls = append(f.controls, ready.Control)
		for _, endpoint := range ready.Hosts {
			if err := f.PutHost(ctx, endpoint); err != nil {
				return err
			}
			f.endpoints = append(f.endpoints, endpoint)
			f.controlOf[endpoint.ID] = ready.Control
		}
	}
	return nil
}

// part is the endpoints that one process plays.
type part struct {
	name  string
	hosts []host.Host
}

func (f *Fleet) endpointParts() []part {
	all := f.deployment.Endpoints()
	if !f.splitZones {
		return []part{{name: "endpoints", hosts: all}}
	}
	var parts []part
	for _, zone := range f.deployment.Zones {
		p := part{name: "endpoints-" + zone.Name}
		for _, endpoint := range all {
			if endpoint.AvailabilityZone == zone.Name {
				p.hosts = append(p.hosts, endpoint)
			}
		}
		if len(p.hosts) > 0 {
			parts = append(parts, p)
		}
	}
	return parts
}

func (f *Fleet) startEndpointPart(p part) (*process.Process, error) {
	text, err := json.Marshal(p.hosts)
	if err != nil {
		return nil, errors.Wrap(err, "hosts file")
	}
	path := filepath.Join(f.logFolder, p.name+".hosts.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "hosts file")
	}
	arguments := append([]string{"endpoints", "--hosts", path, "--control", anyPort}, f.endpointArguments...)
	return f.launch(p.name, "standin", nil, arguments...)
}

// startEntries starts all entry hosts before it waits for any.
func (f *Fleet) startEntries(ctx context.Context) error {
	var started []*process.Process
	entries := f.deployment.Entries(f.entryCount)
	for _, entry := range entries {
		p, err := f.launchEntry(ctx, entry)
		if err != nil {
			return err
		}
		started = append(started, p)
	}
	for i, p := range started {
		if err := f.admitEntry(ctx, p, entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts one more entry host, or one that has ended anew, with some more arguments and waits
// until it listens.
func (f *Fleet) StartEntry(ctx context.Context, entry host.Host, arguments ...string) error {
	p, err := f.launchEntry(ctx, entry, arguments...)
	if err != nil {
		return err
	}
	return f.admitEntry(ctx, p, entry)
}

func (f *Fleet) launchEntry(ctx context.Context, entry host.Host, more ...string) (*process.Process, error) {
	storeURL, err := f.platformFrom(ctx, entry.Region, f.platform)
	if err != nil {
		return nil, err
	}
	listURL, err := f.platformFrom(ctx, entry.Region, f.listOf(entry.Region))
	if err != nil {
		return nil, err
	}
	arguments := []string{
		"serve", "--host-id", entry.ID, "--region", entry.Region, "--availability-zone", entry.AvailabilityZone,
		"--listen", anyPort, "--peer-listen", anyPort, "--admin-listen", anyPort,
		"--store-url", storeURL, "--host-list-url", listURL,
	}
	if f.policy != "" {
		arguments = append(arguments, "--policy", f.policy)
	}
	arguments = append(arguments, f.entryArguments...)
	return f.launch(entry.ID, "poplarhook", []string{f.tokenEnvironment()}, append(arguments, more...)...)
}

// admitEntry waits until the entry host listens and has the platform list it.
func (f *Fleet) admitEntry(ctx context.Context, p *process.Process, entry host.Host) error {
	var ready entryReady
	if err := p.Ready(ctx, &ready); err != nil {
		return err
	}
	entry.Address = ready.Address
	entry.PeerAddress = ready.PeerAddress
	entry.AdminAddress = ready.AdminAddress
	if err := f.PutHost(ctx, entry); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.entries {
		if f.entries[i].ID == entry.ID {
			f.entries[i] = entry
			return nil
		}
	}
	f.entries = append(f.entries, entry)
	return nil
}

// launch starts a program under a name and remembers its process in place of an earlier one of that name.
func (f *Fleet) launch(name, program string, environment []string, arguments ...string) (*process.Process, error) {
	p, err := process.Start(name, filepath.Join(f.bin, program), f.logFolder, environment, arguments...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.processes {
		if f.processes[i].Name() == name {
			f.processes[i] = p
			return p, nil
		}
	}
	f.processes = append(f.processes, p)
	return p, nil
}
