package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/wish"
	"poplarhook.example/poplarhook/services/coordinator"
)

const (
	// maxLooks is how often a host at rest looks at the time in a second, at most.
	maxLooks = 30
	// restGap is longer than the time between two looks of a host with work.
	restGap   = 25 * time.Millisecond
	lookLimit = 10 * time.Second
)

// looks tells of each look at the time.
type looks chan time.Time

func (l looks) clock() time.Time {
	now := time.Now()
	select {
	case l <- now:
	default:
	}
	return now
}

// next returns the time of the next look.
func (l looks) next(c *quicktest.C) time.Time {
	select {
	case at := <-l:
		return at
	case <-time.After(lookLimit):
		c.Fatalf("no look at the time within %s", lookLimit)
		return time.Time{}
	}
}

// awaitRest waits until two looks lie as far apart as those of a host at rest, and returns the latter.
func (l looks) awaitRest(c *quicktest.C) time.Time {
	first := l.next(c)
	for last := first; last.Sub(first) < lookLimit; {
		at := l.next(c)
		if at.Sub(last) > restGap {
			return at
		}
		last = at
	}
	c.Fatalf("no rest within %s", lookLimit)
	return time.Time{}
}

// TestHostAtRestTicksSeldom counts how often a host without work looks at the time, and that work has it look often again.
func TestHostAtRestTicksSeldom(t *testing.T) {
	c := quicktest.New(t)
	seen := make(looks, 4096)
	n := &network{owner: map[group.Group]string{home: "other"}}
	resting := coordinator.New("a", home.Region, linkOf{n, "a"}, places{}, n, allProved{},
		coordinator.WithClock(seen.clock), coordinator.WithOwnerTimeout(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	done := resting.Run(ctx)
	before := seen.awaitRest(c)
	for range maxLooks {
		seen.next(c)
	}
	took := seen.next(c).Sub(before)
	c.Check(took > time.Second, quicktest.IsTrue, quicktest.Commentf("%d looks in %s at rest", maxLooks+1, took))

	// Requests that no owner answers are refused at the deadline and not only at the next tick of a host at rest.
	soonest := time.Hour
	for range 5 {
		seen.awaitRest(c)
		deadline := time.Now().Add(8 * time.Millisecond)
		_, err := resting.Bind(context.Background(), wish.Wish{Groups: []group.Group{home}, Until: deadline})
		c.Check(err, quicktest.IsNotNil)
		soonest = min(soonest, time.Since(deadline))
	}
	c.Check(soonest < 25*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("refused %s after the deadline at best", soonest))
	cancel()
	c.Assert(<-done, quicktest.IsNil)
}
