package connector

import (
	"context"
	stderrors "errors"
	"sync"

	"poplarhook.example/standin/forwarder"
)

// Connector opens relays that share their settings, safe for concurrent use.
type Connector struct {
	settings forwarder.Settings

	mu     sync.Mutex
	relays map[string]*forwarder.Forwarder
	ends   []<-chan error
}

// New returns a connector without relays.
func New(settings forwarder.Settings) *Connector {
	return &Connector{settings: settings, relays: make(map[string]*forwarder.Forwarder)}
}

// Connect returns the address that leads to the target; its relay runs until the context of the first call ends.
func (c *Connector) Connect(ctx context.Context, target string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if opened, known := c.relays[target]; known {
		return opened.Address(), nil
	}
	opened := forwarder.New(target, c.settings)
	end, err := opened.Start(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.relays[target] = opened
	c.ends = append(c.ends, end)
	return opened.Address(), nil
}

// Wait returns what the relays ended with, once all have; it is called once, after the last call of Connect.
func (c *Connector) Wait() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failures []error
	for _, end := range c.ends {
		failures = append(failures, <-end)
	}
	return stderrors.Join(failures...)
}
