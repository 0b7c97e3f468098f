package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/services/coordinator"
)

const (
	// maxIdleReads is the maximum number of times that an idle host reads the clock in one second.
	maxIdleReads = 30
	// idleGap is longer than the time between two clock reads of a host with work.
	idleGap     = 25 * time.Millisecond
	readTimeout = 10 * time.Second
)

// clockReads receives the time of each clock read.
type clockReads chan time.Time

func (r clockReads) clock() time.Time {
	now := time.Now()
	select {
	case r <- now:
	default:
	}
	return now
}

// next returns the time of the next clock read.
func (r clockReads) next(c *quicktest.C) time.Time {
	select {
	case at := <-r:
		return at
	case <-time.After(readTimeout):
		c.Fatalf("clock was not read within %s", readTimeout)
		return time.Time{}
	}
}

// awaitIdle waits until two clock reads are as far apart as those of an idle host and returns the time of the second.
func (r clockReads) awaitIdle(c *quicktest.C) time.Time {
	first := r.next(c)
	for last := first; last.Sub(first) < readTimeout; {
		at := r.next(c)
		if at.Sub(last) > idleGap {
			return at
		}
		last = at
	}
	c.Fatalf("host did not become idle within %s", readTimeout)
	return time.Time{}
}

// TestIdleHostTicksSeldom checks that a host without work reads the clock seldom, and often again once it gets work.
func TestIdleHostTicksSeldom(t *testing.T) {
	c := quicktest.New(t)
	reads := make(clockReads, 4096)
	n := &network{owner: map[group.Group]string{home: "other"}}
	idle := coordinator.New("a", home.Region, hostLink{n, "a"}, fakeLocator{}, n, alwaysConnected{},
		coordinator.WithClock(reads.clock), coordinator.WithOwnerTimeout(time.Hour))
	ctx, cancel := context.WithCancel(context.Background())
	done := idle.Run(ctx)
	idleSince := reads.awaitIdle(c)
	for range maxIdleReads {
		reads.next(c)
	}
	took := reads.next(c).Sub(idleSince)
	c.Check(took > time.Second, quicktest.IsTrue, quicktest.Commentf("%d clock reads in %s by an idle host", maxIdleReads+1, took))

	// Requests that no owner answers must be refused at the deadline and not only at the next tick of an idle host.
	shortestDelay := time.Hour
	for range 5 {
		reads.awaitIdle(c)
		deadline := time.Now().Add(8 * time.Millisecond)
		_, err := idle.Bind(context.Background(), requirement.Requirement{Groups: []group.Group{home}, Deadline: deadline})
		c.Check(err, quicktest.IsNotNil)
		shortestDelay = min(shortestDelay, time.Since(deadline))
	}
	c.Check(shortestDelay < 25*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("earliest refusal came %s after the deadline", shortestDelay))
	cancel()
	c.Assert(<-done, quicktest.IsNil)
}
