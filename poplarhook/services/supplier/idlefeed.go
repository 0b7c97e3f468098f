package supplier

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/change"
	"poplarhook.example/lib/rollout"
)

// idleFeed is the feed of the states of orders. It does not call the store while no order is open: states change only
// then, and calls are priced.
type idleFeed struct {
	Feed[rollout.State]
	historyGone error
	// isIdle reports whether no order is open.
	isIdle func() bool
	// changed receives a value when that may have changed.
	changed <-chan struct{}
}

// Watch waits until an order is open, and then watches for the rest of the time.
func (f idleFeed) Watch(ctx context.Context, revision int64, wait time.Duration) ([]change.Change[rollout.State], int64, error) {
	startedAt := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for f.isIdle() {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, revision, nil
		case <-f.changed:
		}
	}
	left := max(wait-time.Since(startedAt), time.Millisecond)
	changes, next, err := f.Feed.Watch(ctx, revision, left)
	if f.historyGone != nil && errors.Is(err, f.historyGone) {
		return f.listChanges(ctx, revision)
	}
	return changes, next, err
}

// listChanges returns the states that were written after the revision, for a watch that was idle for longer than the
// store keeps its history. States are never removed.
func (f idleFeed) listChanges(ctx context.Context, revision int64) ([]change.Change[rollout.State], int64, error) {
	items, next, err := f.List(ctx)
	if err != nil {
		return nil, 0, err
	}
	var changes []change.Change[rollout.State]
	for name, s := range items {
		if s.Revision > revision {
			changes = append(changes, change.Change[rollout.State]{Name: name, Value: s})
		}
	}
	return changes, next, nil
}

// idleStates returns the feed of states for one session.
func (s *Supplier) idleStates() idleFeed {
	return idleFeed{Feed: s.store.RolloutStates, historyGone: s.store.HistoryGone, isIdle: s.isRolloutIdle, changed: s.ordersChanged}
}

// notifyOrders tells a waiting watch of states that the orders have changed.
func (s *Supplier) notifyOrders() {
	select {
	case s.ordersChanged <- struct{}{}:
	default:
	}
}

// isRolloutIdle reports whether no order is open and no state is that of an order which is carried out.
func (s *Supplier) isRolloutIdle() bool {
	for _, o := range s.orders.Get().Items {
		if o.IsOpen() {
			return false
		}
	}
	for _, state := range s.rolloutStates.Get().Items {
		if state.Phase.IsActive() {
			return false
		}
	}
	return true
}
