package connector

import (
	"context"
	stderrors "errors"
	"sync"

	"poplarhook.example/standin/forwarder"
)

// Connector opens relays that all have the same settings; it is safe for concurrent use.
type Connector struct {
	settings forwarder.Settings

	mu         sync.Mutex
	relays     map[string]*forwarder.Forwarder
	relaysDone []<-chan error
}

// New returns a connector that has no relays yet.
func New(settings forwarder.Settings) *Connector {
	return &Connector{settings: settings, relays: make(map[string]*forwarder.Forwarder)}
}

// Connect returns the address of the relay to the target, and starts the relay at the first call for the target; the
// relay runs until the context of that first call ends.
func (c *Connector) Connect(ctx context.Context, target string) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if relay, known := c.relays[target]; known {
		return relay.Address(), nil
	}
	relay := forwarder.New(target, c.settings)
	done, err := relay.Start(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	c.relays[target] = relay
	c.relaysDone = append(c.relaysDone, done)
	return relay.Address(), nil
}

// Wait waits until all relays have ended and returns their errors; call it once, after the last call of Connect.
func (c *Connector) Wait() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var failures []error
	for _, done := range c.relaysDone {
		failures = append(failures, <-done)
	}
	return stderrors.Join(failures...)
}
