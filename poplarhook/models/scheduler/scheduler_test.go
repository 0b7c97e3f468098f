package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/models/member"
	"poplarhook.example/poplarhook/models/scheduler"
)

func fleet(size int) []member.Member {
	regions := []string{"r0", "r1", "r2"}
	members := make([]member.Member, 0, size)
	for i := range size {
		members = append(members, member.Member{ID: fmt.Sprintf("host-%03d", i), Region: regions[i%len(regions)]})
	}
	return members
}

func TestHeartbeatsByRegionAndNamesOfEveryMember(t *testing.T) {
	c := qt.New(t)
	const step = 250 * time.Millisecond
	for _, test := range []struct {
		size      int
		turn      time.Duration
		maxNames  int
		maxBudget int
	}{
		{size: 17, turn: time.Minute, maxNames: 14, maxBudget: 1000},
		{size: 100, turn: 80 * time.Minute, maxNames: 5, maxBudget: 4800},
	} {
		s := scheduler.New(fleet(1)[0])
		all := fleet(test.size)
		peers := all[1:]
		beats, named, total := map[string]int{}, map[string]map[string]bool{}, 0
		now := time.Unix(1000, 0)
		for end := now.Add(test.turn); now.Before(end); now = now.Add(step) {
			for _, peer := range s.Due(now, peers) {
				beats[peer.ID]++
				m, ok := s.Name(now, peer, all)
				if !ok {
					continue
				}
				total++
				if named[peer.ID] == nil {
					named[peer.ID] = map[string]bool{}
				}
				named[peer.ID][m.ID] = true
			}
		}
		seconds := int(test.turn.Seconds())
		for _, peer := range peers {
			want := seconds
			if peer.Region == "r0" {
				want *= 4
			}
			// The first beat comes early by the peer's phase.
			c.Check(beats[peer.ID] == want || beats[peer.ID] == want+1, qt.IsTrue, qt.Commentf("%s: %d of %d", peer.ID, beats[peer.ID], want))
			c.Check(named[peer.ID], qt.HasLen, test.size-1)
		}
		c.Check(total/seconds <= test.maxNames, qt.IsTrue, qt.Commentf("%d names a second", total/seconds))
		c.Check(s.Planned(peers) < test.maxBudget, qt.IsTrue, qt.Commentf("%d bytes a second", s.Planned(peers)))
	}
}
