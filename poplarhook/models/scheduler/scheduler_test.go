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

func TestHeartbeatIntervalsAndMemberRotation(t *testing.T) {
	c := qt.New(t)
	const step = 250 * time.Millisecond
	for _, test := range []struct {
		size       int
		duration   time.Duration
		maxMembers int
		maxBudget  int
	}{
		{size: 17, duration: time.Minute, maxMembers: 14, maxBudget: 1000},
		{size: 100, duration: 80 * time.Minute, maxMembers: 5, maxBudget: 4800},
	} {
		s := scheduler.New(fleet(1)[0])
		all := fleet(test.size)
		peers := all[1:]
		heartbeats, members, total := map[string]int{}, map[string]map[string]bool{}, 0
		now := time.Unix(1000, 0)
		for end := now.Add(test.duration); now.Before(end); now = now.Add(step) {
			for _, peer := range s.Due(now, peers) {
				heartbeats[peer.ID]++
				m, ok := s.NextMember(now, peer, all)
				if !ok {
					continue
				}
				total++
				if members[peer.ID] == nil {
					members[peer.ID] = map[string]bool{}
				}
				members[peer.ID][m.ID] = true
			}
		}
		seconds := int(test.duration.Seconds())
		for _, peer := range peers {
			want := seconds
			if peer.Region == "r0" {
				want *= 4
			}
			// The first heartbeat comes early by the peer's phase, so there may be one more.
			c.Check(heartbeats[peer.ID] == want || heartbeats[peer.ID] == want+1, qt.IsTrue, qt.Commentf("%s: %d of %d", peer.ID, heartbeats[peer.ID], want))
			c.Check(members[peer.ID], qt.HasLen, test.size-1)
		}
		c.Check(total/seconds <= test.maxMembers, qt.IsTrue, qt.Commentf("%d members per second", total/seconds))
		c.Check(s.HeartbeatRate(peers) < test.maxBudget, qt.IsTrue, qt.Commentf("%d bytes per second", s.HeartbeatRate(peers)))
	}
}
