package relayer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/storer"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
)

// errStaleIndex means that the index in the store has a lower revision than the configuration of this host or a live
// peer.
var errStaleIndex = errors.New("index has a lower revision than the current configuration")

// followIndex watches the index in the store while this host is a relay, or when it has been behind its peers for
// storeFallbackDelay because none of them sent it their configuration.
func (r *Relayer) followIndex(ctx context.Context) {
	backoff := minBackoff
	version, watching := int64(0), false
	for ctx.Err() == nil {
		relay := r.IsRelay(r.clock())
		if relay != watching {
			watching = relay
			r.logger.Info("relay role of this host", zap.Bool("active", relay))
		}
		if !relay && r.timeBehindPeers(r.clock()) < storeFallbackDelay {
			sleep(ctx, checkInterval)
			continue
		}
		reached, err := r.watchIndex(ctx, version)
		version = max(version, reached)
		if err == nil {
			backoff = minBackoff
			continue
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// watchIndex waits for an index with a higher version than after and adopts its configuration. It returns the version
// after which to watch next, which remains the old one until the whole configuration has been read and adopted.
func (r *Relayer) watchIndex(ctx context.Context, after int64) (int64, error) {
	found, err := r.store.Watch(ctx, index.Key, after, r.watchWait)
	if errors.Is(err, storer.ErrUnchanged) {
		return after, nil
	}
	if err != nil {
		r.count("index_watch_failed")
		return after, err
	}
	if err := r.adoptIndex(ctx, found); err != nil {
		return after, err
	}
	return found.Version, nil
}

// adoptIndex assembles the configuration of an index, adopts it and propagates it.
func (r *Relayer) adoptIndex(ctx context.Context, found object.Object) error {
	x, err := assembler.Decode(found)
	if err != nil {
		r.count("index_refused")
		return err
	}
	if x.Revision < r.highestKnownRevision() {
		r.count("index_behind")
		return errors.Wrapf(errStaleIndex, "revision %d", x.Revision)
	}
	if x.Revision == r.adopter.Revision() {
		return nil
	}
	s, err := r.assembler.Assemble(ctx, x)
	if err != nil {
		r.count("assembly_failed")
		return err
	}
	encoded, err := json.Marshal(s)
	if err != nil {
		return errors.Wrapf(err, "encode revision %d", s.Revision)
	}
	now := r.clock()
	if r.adoptSnapshot(now, s, encoded) {
		r.propagate(now, s.Revision)
	}
	if r.adopter.Revision() < s.Revision {
		return errors.Wrapf(errStaleIndex, "not adopted because the view of the peers is not up to date yet, revision %d", s.Revision)
	}
	return nil
}

// highestKnownRevision returns the highest revision that this host or a live peer runs.
func (r *Relayer) highestKnownRevision() int64 {
	highest := r.adopter.Revision()
	for _, m := range r.members.Live(r.clock()) {
		highest = max(highest, m.Revision)
	}
	return highest
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
