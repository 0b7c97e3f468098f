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

// errBehind means that the store shows an index older than what this host or a live peer runs.
var errBehind = errors.New("index is older than the configuration in force")

// follow watches the index while this host is a relay, or when no peer gives it what they run.
func (r *Relayer) follow(ctx context.Context) {
	backoff := minBackoff
	version, watching := int64(0), false
	for ctx.Err() == nil {
		relay := r.IsRelay(r.clock())
		if relay != watching {
			watching = relay
			r.logger.Info("relay of the configuration", zap.Bool("active", relay))
		}
		if !relay && r.behindFor(r.clock()) < storePatience {
			sleep(ctx, stepInterval)
			continue
		}
		reached, err := r.watch(ctx, version)
		version = max(version, reached)
		if err == nil {
			backoff = minBackoff
			continue
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// watch waits for one newer index and brings it into force. It returns the version from which
// to go on, which stays the old one until the whole configuration was read.
func (r *Relayer) watch(ctx context.Context, after int64) (int64, error) {
	found, err := r.store.Watch(ctx, index.Key, after, r.wait)
	if errors.Is(err, storer.ErrUnchanged) {
		return after, nil
	}
	if err != nil {
		r.count("index_watch_failed")
		return after, err
	}
	if err := r.take(ctx, found); err != nil {
		return after, err
	}
	return found.Version, nil
}

func (r *Relayer) take(ctx context.Context, found object.Object) error {
	x, err := assembler.Decode(found)
	if err != nil {
		r.count("index_refused")
		return err
	}
	if x.Revision < r.highestHeard() {
		r.count("index_behind")
		return errors.Wrapf(errBehind, "revision %d", x.Revision)
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
	if r.apply(now, s, encoded) {
		r.spread(now, s.Revision)
	}
	if r.adopter.Revision() < s.Revision {
		return errors.Wrapf(errBehind, "peers not heard yet, revision %d", s.Revision)
	}
	return nil
}

// highestHeard returns the highest revision that this host or a live peer runs.
func (r *Relayer) highestHeard() int64 {
	highest := r.adopter.Revision()
	for _, m := range r.members.Live(r.clock()) {
		highest = max(highest, m.Revision)
	}
	return highest
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
