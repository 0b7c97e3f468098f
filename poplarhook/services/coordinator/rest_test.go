package coordinator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/wish"
	"poplarhook.example/poplarhook/services/coordinator"
)

// TestHostAtRestTicksSeldom counts how often a host without work looks at the time, and that work has it look often again.
func TestHostAtRestTicksSeldom(t *testing.T) {
	qt := quicktest.New(t)
	var looks atomic.Int64
	clock := func() time.Time {
		looks.Add(1)
		return time.Now()
	}
	n := &network{owner: map[group.Group]string{home: "other"}}
	c := coordinator.New("a", home.Region, linkOf{n, "a"}, places{}, n, allProved{},
		coordinator.WithClock(clock), coordinator.WithOwnerTimeout(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	done := c.Run(ctx)
	time.Sleep(50 * time.Millisecond)
	before := looks.Load()
	time.Sleep(time.Second)
	qt.Check(looks.Load()-before <= 30, quicktest.IsTrue, quicktest.Commentf("%d looks in a second at rest", looks.Load()-before))

	// Requests that no owner answers are refused at the deadline and not only at the next tick of a host at rest.
	soonest := time.Hour
	for range 5 {
		time.Sleep(60 * time.Millisecond)
		deadline := time.Now().Add(8 * time.Millisecond)
		_, err := c.Bind(context.Background(), wish.Wish{Groups: []group.Group{home}, Until: deadline})
		qt.Check(err, quicktest.IsNotNil)
		soonest = min(soonest, time.Since(deadline))
	}
	qt.Check(soonest < 25*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("refused %s after the deadline at best", soonest))
	cancel()
	qt.Assert(<-done, quicktest.IsNil)
}
