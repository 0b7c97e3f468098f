package roster_test

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"poplarhook.example/poplarhook/models/member"
	"poplarhook.example/poplarhook/models/roster"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func self() member.Member {
	return member.Member{ID: "a", Region: "near"}
}

func ids(members []member.Member) []string {
	list := []string{}
	for _, m := range members {
		list = append(list, m.ID)
	}
	return list
}

// step is one line of a recorded trace.
type step struct {
	AtMS        int      `json:"at_ms"`
	Event       string   `json:"event"`
	HostID      string   `json:"host_id"`
	Incarnation string   `json:"incarnation"`
	Region      string   `json:"region"`
	Revision    int64    `json:"revision"`
	Leaving     bool     `json:"leaving"`
	Live        []string `json:"live"`
	Candidates  []string `json:"candidates"`
	Fresh       bool     `json:"fresh"`
}

func TestReplayJoinLeavePause(t *testing.T) {
	c := qt.New(t)
	file, err := os.Open("testdata/join_leave_pause.jsonl")
	c.Assert(err, qt.IsNil)
	defer file.Close()
	r := roster.New(start, self())
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var s step
		c.Assert(json.Unmarshal(lines.Bytes(), &s), qt.IsNil)
		now := at(s.AtMS)
		switch s.Event {
		case "hear":
			r.RecordHeartbeat(now, member.Member{ID: s.HostID, Incarnation: s.Incarnation, Region: s.Region}, s.Revision, s.Leaving)
		case "tick":
			r.Tick(now)
		case "expect":
			comment := qt.Commentf("at %d ms", s.AtMS)
			c.Check(ids(r.Live(now)), qt.DeepEquals, s.Live, comment)
			c.Check(ids(r.Candidates(now)), qt.DeepEquals, s.Candidates, comment)
			c.Check(r.IsFresh(now), qt.Equals, s.Fresh, comment)
		default:
			c.Fatalf("unknown event %q", s.Event)
		}
	}
	c.Assert(lines.Err(), qt.IsNil)
}

func TestRemovedPeerIsNotExpected(t *testing.T) {
	c := qt.New(t)
	r := roster.New(start, self())
	r.RecordHeartbeat(at(500), member.Member{ID: "b", Region: "near"}, 1, false)
	r.Tick(at(5000))
	r.Tick(at(5900))
	r.Tick(at(6100))
	c.Check(r.IsFresh(at(6100)), qt.IsFalse)
	r.Remove("b")
	c.Check(r.IsFresh(at(6100)), qt.IsTrue)
}

func TestSelfIsLiveUntilItLeaves(t *testing.T) {
	c := qt.New(t)
	r := roster.New(start, self())
	r.SetRevision(7)
	r.Leave()
	c.Check(r.Live(start), qt.DeepEquals, []member.Member{self().WithRevision(7).WithLeaving(true)})
	c.Check(r.Candidates(start), qt.HasLen, 0)
	c.Check(ids(r.Leaving(start)), qt.DeepEquals, []string{"a"})
}

// lastHeartbeat is the state of one host in the reference model, which is a plain map of all heartbeats.
type lastHeartbeat struct {
	at      int
	leaving bool
}

func TestRosterMatchesHeartbeatHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := roster.New(start, self())
		heartbeats := map[string]lastHeartbeat{}
		now, lastStep, pausedAt := 0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 1500).Draw(t, "gap_ms")
			if now-lastStep > 1000 {
				pausedAt = now
			}
			lastStep = now
			id := rapid.SampledFrom([]string{"", "b", "c", "d"}).Draw(t, "host")
			if id == "" {
				r.Tick(at(now))
			} else {
				leaving := rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				r.RecordHeartbeat(at(now), member.Member{ID: id, Region: "near"}, 1, leaving)
				heartbeats[id] = lastHeartbeat{at: now, leaving: leaving || heartbeats[id].leaving}
			}
			live, candidates := []string{"a"}, []string{"a"}
			for _, id := range []string{"b", "c", "d"} {
				h, ok := heartbeats[id]
				if !ok || now-h.at >= 1000 {
					continue
				}
				live = append(live, id)
				if !h.leaving {
					candidates = append(candidates, id)
				}
			}
			if got := ids(r.Live(at(now))); !slices.Equal(got, live) {
				t.Fatalf("live hosts are %v, want %v", got, live)
			}
			if got := ids(r.Candidates(at(now))); !slices.Equal(got, candidates) {
				t.Fatalf("candidates are %v, want %v", got, candidates)
			}
			if now-pausedAt < 1000 && r.IsFresh(at(now)) {
				t.Fatalf("the view counts as current only %d ms after a pause", now-pausedAt)
			}
		}
	})
}
