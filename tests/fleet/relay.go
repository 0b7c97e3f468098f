package fleet

import (
	"context"

	"poplarhook.example/lib/host"
	"poplarhook.example/tests/link"
)

// relayReady is the ready line of a relay.
type relayReady struct {
	Ready   bool   `json:"ready"`
	Address string `json:"address"`
	Control string `json:"control"`
}

// StartRelay starts a link to a target's address as a process of its own.
func (f *Fleet) StartRelay(ctx context.Context, name, target string) (*link.Link, error) {
	p, err := f.launch(name, "standin", nil, "relay", "--target", target)
	if err != nil {
		return nil, err
	}
	var ready relayReady
	if err := p.Ready(ctx, &ready); err != nil {
		return nil, err
	}
	return link.New(ready.Address, ready.Control), nil
}

// StartHostList starts one more host list as a process of its own, for entry hosts that are to reach others
// by other addresses, and returns its URL for --host-list-url and PutHostInto.
func (f *Fleet) StartHostList(ctx context.Context, name string) (string, error) {
	address, err := f.launchPlatform(ctx, name)
	return "http://" + address, err
}

// PutHostInto adds a host to the host list at a URL or replaces it.
func (f *Fleet) PutHostInto(ctx context.Context, listURL string, h host.Host) error {
	return post(ctx, listURL+"/standin/hosts", h)
}

// PlatformAddress returns the address of the platform stand-in.
func (f *Fleet) PlatformAddress() string {
	return f.platform
}
