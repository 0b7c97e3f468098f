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

// standinReadyLine is the JSON line that a stand-in prints when it is ready.
type standinReadyLine struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
}

// endpointsReadyLine is the JSON line that a process that simulates endpoints prints when it is ready.
type endpointsReadyLine struct {
	Ready   bool        `json:"ready"`
	Control string      `json:"control"`
	Hosts   []host.Host `json:"hosts"`
}

// entryReadyLine is the JSON line that an entry host prints when it is ready.
type entryReadyLine struct {
	Event        string `json:"event"`
	HostID       string `json:"host_id"`
	Address      string `json:"address"`
	PeerAddress  string `json:"peer_address"`
	AdminAddress string `json:"admin_address"`
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address, err := f.startPlatformProcess(ctx, PlatformName)
	if err != nil {
		return err
	}
	f.platformAddress = address
	f.store = storer.New(f.PlatformURL())
	f.applier = applier.New(f.store, f.clock)
	return nil
}

// startPlatformProcess starts a platform stand-in as the process of the given name and returns its address.
func (f *Fleet) startPlatformProcess(ctx context.Context, name string) (string, error) {
	p, err := f.startProcess(name, "standin", nil, "platform", "--listen", anyPort)
	if err != nil {
		return "", err
	}
	var ready standinReadyLine
	if err := p.Ready(ctx, &ready); err != nil {
		return "", err
	}
	return ready.Address, nil
}

// startEndpoints starts all endpoint processes, and then waits for each of them and adds its endpoints to the host
// lists.
func (f *Fleet) startEndpoints(ctx context.Context) error {
	var started []*process.Process
	for _, part := range f.endpointGroups() {
		p, err := f.startEndpointGroup(part)
		if err != nil {
			return err
		}
		started = append(started, p)
	}
	for _, p := range started {
		var ready endpointsReadyLine
		if err := p.Ready(ctx, &ready); err != nil {
			return err
		}
		f.controlAddresses = append(f.controlAddresses, ready.Control)
		for _, endpoint := range ready.Hosts {
			if err := f.PutHost(ctx, endpoint); err != nil {
				return err
			}
			f.endpoints = append(f.endpoints, endpoint)
			f.controlAddressByEndpoint[endpoint.ID] = ready.Control
		}
	}
	return nil
}

// endpointGroup is the set of endpoints that one process simulates.
type endpointGroup struct {
	name  string
	hosts []host.Host
}

func (f *Fleet) endpointGroups() []endpointGroup {
	all := f.deployment.Endpoints()
	if !f.processPerZone {
		return []endpointGroup{{name: "endpoints", hosts: all}}
	}
	var parts []endpointGroup
	for _, zone := range f.deployment.Zones {
		p := endpointGroup{name: "endpoints-" + zone.Name}
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

func (f *Fleet) startEndpointGroup(p endpointGroup) (*process.Process, error) {
	text, err := json.Marshal(p.hosts)
	if err != nil {
		return nil, errors.Wrap(err, "hosts file")
	}
	path := filepath.Join(f.logFolder, p.name+".hosts.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "hosts file")
	}
	arguments := append([]string{"endpoints", "--hosts", path, "--control", anyPort}, f.endpointArguments...)
	return f.startProcess(p.name, "standin", nil, arguments...)
}

// startEntries starts all entry hosts, and then waits for each of them and adds it to the host lists.
func (f *Fleet) startEntries(ctx context.Context) error {
	var started []*process.Process
	entries := f.deployment.Entries(f.entryCount)
	for _, entry := range entries {
		p, err := f.startEntryProcess(ctx, entry)
		if err != nil {
			return err
		}
		started = append(started, p)
	}
	for i, p := range started {
		if err := f.registerEntry(ctx, p, entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts an additional entry host, or restarts one that has ended, with additional arguments and waits
// until it listens.
func (f *Fleet) StartEntry(ctx context.Context, entry host.Host, arguments ...string) error {
	p, err := f.startEntryProcess(ctx, entry, arguments...)
	if err != nil {
		return err
	}
	return f.registerEntry(ctx, p, entry)
}

func (f *Fleet) startEntryProcess(ctx context.Context, entry host.Host, extra ...string) (*process.Process, error) {
	storeURL, err := f.platformURLFrom(ctx, entry.Region, f.platformAddress)
	if err != nil {
		return nil, err
	}
	listURL, err := f.platformURLFrom(ctx, entry.Region, f.hostListAddress(entry.Region))
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
	return f.startProcess(entry.ID, "poplarhook", []string{f.tokenEnvironment()}, append(arguments, extra...)...)
}

// registerEntry waits until the entry host listens and adds it to the host lists.
func (f *Fleet) registerEntry(ctx context.Context, p *process.Process, entry host.Host) error {
	var ready entryReadyLine
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

// startProcess starts a program as the process of the given name, which replaces an earlier process of that name.
func (f *Fleet) startProcess(name, program string, environment []string, arguments ...string) (*process.Process, error) {
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
