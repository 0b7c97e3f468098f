package platformserver_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/leasekeeper"
	"poplarhook.example/lib/leaser"
	"poplarhook.example/lib/storer"
	"poplarhook.example/standin/storeserver"
)

const (
	leaseTTL         = 90 * time.Millisecond
	leaseMaxDeadline = 30 * time.Millisecond
	leaseCallTimeout = 20 * time.Millisecond
	faultTime        = 40 * time.Millisecond
	minEpochs        = 4
	minRounds        = 20
	maxRounds        = 400
)

// Two hosts contend for a lease through the real store client while the store has each of its faults in turn. While one
// host holds the lease, work that the other host started under it must have reached its deadline, and each epoch must
// belong to one host only.
func TestLeaseOverFaultyStore(t *testing.T) {
	c := qt.New(t)
	p, server := start(c)
	keepers := []*leasekeeper.Leasekeeper{startContender(c, server, "host-a"), startContender(c, server, "host-b")}
	faults := []func(*storeserver.Settings){
		func(s *storeserver.Settings) { s.LoseReplies = 2 },
		func(s *storeserver.Settings) { s.Hang = true },
		func(s *storeserver.Settings) { s.Stale = true },
		func(s *storeserver.Settings) { s.Down = true },
		func(s *storeserver.Settings) { s.DelayMS = 15 },
	}
	workDeadlines := make([]time.Time, len(keepers))
	epochs := make(map[int64]int)
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	// On a slow machine the holder of the lease changes in fewer rounds, so more rounds are needed.
	for round := 0; round < minRounds || (len(epochs) < minEpochs && round < maxRounds); round++ {
		// In every second round one host does not want the lease; the two hosts alternate.
		keepers[0].SetWanted(round%4 != 0)
		keepers[1].SetWanted(round%4 != 2)
		p.Store().Change(faults[round%len(faults)])
		for end := time.Now().Add(3 * faultTime); time.Now().Before(end); {
			<-ticker.C
			if time.Until(end) < 2*faultTime {
				p.Store().Change(func(s *storeserver.Settings) { *s = storeserver.Settings{} })
			}
			for i, k := range keepers {
				epoch, holds := k.Holds()
				if !holds {
					continue
				}
				now := time.Now()
				c.Assert(workDeadlines[1-i].After(now), qt.IsFalse, qt.Commentf("epoch %d", epoch))
				owner, seen := epochs[epoch]
				c.Assert(!seen || owner == i, qt.IsTrue, qt.Commentf("epoch %d", epoch))
				epochs[epoch] = i
				workDeadlines[i] = now.Add(leaseMaxDeadline)
			}
		}
	}
	c.Assert(len(epochs) >= minEpochs, qt.IsTrue, qt.Commentf("epochs %v", epochs))
}

// startContender starts a host that wants the lease until the test ends.
func startContender(c *qt.C, server *httptest.Server, holder string) *leasekeeper.Leasekeeper {
	client := storer.New(server.URL, storer.WithTimeout(leaseCallTimeout))
	k := leasekeeper.New(client, "leases/cold", leaser.New(holder, leaseTTL, leaseMaxDeadline))
	ctx, cancel := context.WithCancel(context.Background())
	done := k.Start(ctx)
	k.SetWanted(true)
	c.Cleanup(func() {
		cancel()
		<-done
		client.Close()
	})
	return k
}
