package fleet

import (
	"context"

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

// PlatformAddress returns the address of the platform stand-in.
func (f *Fleet) PlatformAddress() string {
	return f.platform
}
