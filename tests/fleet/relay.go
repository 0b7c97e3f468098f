package fleet

import (
	"context"

	"poplarhook.example/lib/host"
	"poplarhook.example/tests/link"
)

// relayReadyLine is the ready line of a relay.
type relayReadyLine struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
	Control string `json:"control"`
}

// StartRelay starts a relay to the target's address in a separate process.
func (f *Fleet) StartRelay(ctx context.Context, name, target string) (*link.Link, error) {
	p, err := f.startProcess(name, "standin", nil, "relay", "--target", target)
	if err != nil {
		return nil, err
	}
	var ready relayReadyLine
	if err := p.Ready(ctx, &ready); err != nil {
		return nil, err
	}
	return link.New(ready.Address, ready.Control), nil
}

// StartHostList starts an additional host list in a separate process and returns its URL for --host-list-url and
// PutHostIntoList. Entry hosts that read it can reach other hosts at addresses that differ from those in the platform's
// list.
func (f *Fleet) StartHostList(ctx context.Context, name string) (string, error) {
	address, err := f.startPlatformProcess(ctx, name)
	return "http://" + address, err
}

// PutHostIntoList adds a host to the host list at the given URL, or replaces it there.
func (f *Fleet) PutHostIntoList(ctx context.Context, listURL string, h host.Host) error {
	return postJSON(ctx, listURL+"/standin/hosts", h)
}

// PlatformAddress returns the address of the platform stand-in.
func (f *Fleet) PlatformAddress() string {
	return f.platformAddress
}
