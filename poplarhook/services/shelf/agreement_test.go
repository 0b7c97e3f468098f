package shelf_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/shelf"
)

// history is everything that a store went through: what it held at each revision, and the change that led there.
type history struct {
	states  []map[string]int
	changes []change.Change[int]
}

func drawHistory(t *rapid.T) history {
	h := history{states: []map[string]int{{}}, changes: []change.Change[int]{{}}}
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		c := change.Change[int]{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")}
		next := maps.Clone(h.states[len(h.states)-1])
		if rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
			c.Removed = true
			delete(next, c.Name)
		} else {
			c.Value = rapid.IntRange(0, 2).Draw(t, "value")
			next[c.Name] = c.Value
		}
		h.states = append(h.states, next)
		h.changes = append(h.changes, c)
	}
	return h
}

// list is what the store held at a revision, which counts from one.
func (h history) list(revision int) view.View[int] {
	return view.View[int]{Items: maps.Clone(h.states[revision]), Revision: int64(revision + 1)}
}

// since is what a watch brings from one revision to another.
func (h history) since(from, to int) view.View[int] {
	return view.View[int]{Changed: append([]change.Change[int]{}, h.changes[from+1:to+1]...), Revision: int64(to + 1)}
}

// parities returns what is news of the items: values of the same parity say the same.
func parities(items map[string]int) map[string]int {
	of := make(map[string]int, len(items))
	for name, value := range items {
		of[name] = value % 2
	}
	return of
}

// link is one host of a chain: it has listed the store itself at some time, and then reads from the one before it.
type link struct {
	*shelf.Shelf[int]
	reads  bool
	coming []view.View[int]
}

// take takes in what the host before has told; the whole list of that one is asked for when changes do not fit.
func (l *link) take(before *link) {
	for len(l.coming) > 0 {
		v := l.coming[0]
		l.coming = l.coming[1:]
		if l.PutTold(v) != nil {
			l.join(before)
		}
	}
}

// join begins to read from the host before.
func (l *link) join(before *link) {
	whole := before.Get()
	whole.Changed, whole.Since = nil, 0
	l.reads, l.coming = true, nil
	if whole.Revision > 0 {
		l.PutList(whole)
	}
}

// newChain returns hosts each of which tells the next one what its hook is told.
func newChain(hosts int) []*link {
	chain := make([]*link, hosts)
	for i := range chain {
		chain[i] = &link{}
		chain[i].Shelf = shelf.New(sameParity, func(v view.View[int]) {
			if i+1 < hosts && chain[i+1].reads {
				chain[i+1].coming = append(chain[i+1].coming, v)
			}
		})
	}
	return chain
}

func TestHostsThatHearTheStoreThroughOthersEndWithWhatItHolds(t *testing.T) {
	// The rarest of the faults that it was seen to find shows in one of some ninety histories; rapid plays a hundred.
	for range 20 {
		rapid.Check(t, agreeInTheEnd)
	}
}

func agreeInTheEnd(t *rapid.T) {
	h := drawHistory(t)
	last := len(h.states) - 1
	chain := newChain(4)
	joins := make([]int, len(chain))
	from := rapid.IntRange(0, last).Draw(t, "followed from")
	for i, l := range chain {
		joins[i] = rapid.IntRange(from, last).Draw(t, "joins at")
		if own := rapid.IntRange(-1, joins[i]).Draw(t, "own list"); own >= 0 {
			l.PutList(h.list(own))
		}
	}
	chain[0].PutList(h.list(from))
	for now := from; ; {
		for i, l := range chain[1:] {
			before := chain[i]
			if !l.reads && joins[i+1] <= now && (i == 0 || before.reads) {
				l.join(before)
			}
			if rapid.Bool().Draw(t, "reads now") {
				l.take(before)
			}
		}
		if now == last {
			break
		}
		next := rapid.IntRange(now+1, last).Draw(t, "watched to")
		if rapid.IntRange(0, 4).Draw(t, "anew") == 0 {
			chain[0].PutList(h.list(next))
		} else {
			chain[0].PutWatched(h.since(now, next))
		}
		now = next
	}
	for i, l := range chain {
		if i > 0 && !l.reads {
			break
		}
		if i > 0 {
			l.take(chain[i-1])
		}
		if got, want := parities(l.Get().Items), parities(h.states[last]); !maps.Equal(got, want) {
			t.Fatalf("host %d believes %v where the store holds %v", i, got, want)
		}
	}
}

func sameParity(_ time.Time, before, after int) bool { return before%2 == after%2 }
