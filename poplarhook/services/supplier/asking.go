package supplier

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/frame"
)

// errNoConfiguration means that a host that was asked has no configuration itself.
var errNoConfiguration = errors.New("host has no configuration")

const (
	// maxAskedHosts is how many other hosts are asked for their configuration.
	maxAskedHosts = 3
	// askTimeout bounds the wait for all of them, and laterAnswerTime that for the others once one has answered.
	askTimeout      = 300 * time.Millisecond
	laterAnswerTime = 100 * time.Millisecond
)

// askForConfiguration reads the configurations of other hosts before this host follows the store, if it has none yet and
// revocation is strict.
//
// The store may have been restored from an older copy while this host was not running, so that it cannot notice. Hosts that
// were running keep the newest version that they know, and keys that are missing in it must not be accepted.
func (s *Supplier) askForConfiguration(ctx context.Context) {
	if s.revocation == nil || s.configuration.Get().Revision > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	addresses := s.addressesToAsk()
	answers := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { answers <- s.readConfiguration(ctx, address) }()
	}
	for range addresses {
		if err := <-answers; err == nil {
			time.AfterFunc(laterAnswerTime, cancel)
		}
	}
}

// addressesToAsk returns the addresses of the seeds and then those of the other hosts of the region, maxAskedHosts at most.
func (s *Supplier) addressesToAsk() []string {
	addresses := slices.Clone(s.seeds)
	for _, h := range rankHosts(s.self, s.members.Get().Items) {
		addresses = append(addresses, h.PeerAddress)
	}
	asked := make([]string, 0, maxAskedHosts)
	for _, address := range addresses {
		if len(asked) < maxAskedHosts && address != "" && address != s.self.PeerAddress && !slices.Contains(asked, address) {
			asked = append(asked, address)
		}
	}
	return asked
}

// readConfiguration applies the configuration of the host at the address if it is newer than the known one.
func (s *Supplier) readConfiguration(ctx context.Context, address string) error {
	apply := s.frameApplier()
	hasConfiguration := false
	err := s.subscriber.ReadFullView(ctx, address, func(f frame.Frame) error {
		if f.Feed != feedConfiguration {
			return nil
		}
		hasConfiguration = true
		return apply(f)
	})
	if err == nil && !hasConfiguration {
		err = errNoConfiguration
	}
	if err != nil {
		s.logger.Info("reading the configuration of another host failed", zap.String("address", address), zap.String("error", err.Error()))
		return err
	}
	s.logger.Info("read the configuration of another host", zap.String("address", address), zap.Int64("version", newestVersion(s.configuration.Get())))
	return nil
}
