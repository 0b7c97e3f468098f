package replica_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
	"poplarhook.example/poplarhook/services/replica"
)

// history is the history of a store: its content at each revision, and the change that led to it.
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

// list returns the content of the store at a revision; the revision of the view is one higher, since it counts from
// one.
func (h history) list(revision int) view.View[int] {
	return view.View[int]{Items: maps.Clone(h.states[revision]), Revision: int64(revision + 1)}
}

// since returns the result of a watch from one revision to another.
func (h history) since(from, to int) view.View[int] {
	return view.View[int]{Changed: append([]change.Change[int]{}, h.changes[from+1:to+1]...), Revision: int64(to + 1)}
}

// paritiesOf returns the parity of each item's value; sameParity treats values of the same parity as equivalent.
func paritiesOf(items map[string]int) map[string]int {
	result := make(map[string]int, len(items))
	for name, value := range items {
		result[name] = value % 2
	}
	return result
}

// chainHost is one host of a chain. It may have listed the store itself at some time, and then reads from the
// previous host of the chain.
type chainHost struct {
	*replica.Replica[int]
	reading bool
	// pending holds the views that the previous host has sent and this host has not applied yet.
	pending []view.View[int]
}

// applyPending applies the views that the previous host has sent, and reads the complete list of that host again when
// changes start from a different state.
func (l *chainHost) applyPending(before *chainHost) {
	for len(l.pending) > 0 {
		v := l.pending[0]
		l.pending = l.pending[1:]
		if l.PutReceived(v) != nil {
			l.join(before)
		}
	}
}

// join starts reading from the previous host of the chain.
func (l *chainHost) join(before *chainHost) {
	whole := before.Get()
	whole.Changed, whole.Since = nil, 0
	l.reading, l.pending = true, nil
	if whole.Revision > 0 {
		l.PutList(whole)
	}
}

// newChain returns hosts each of which sends the views that its hook receives to the next host.
func newChain(hosts int) []*chainHost {
	chain := make([]*chainHost, hosts)
	for i := range chain {
		chain[i] = &chainHost{}
		chain[i].Replica = replica.New(sameParity, func(v view.View[int]) {
			if i+1 < hosts && chain[i+1].reading {
				chain[i+1].pending = append(chain[i+1].pending, v)
			}
		})
	}
	return chain
}

func TestChainedHostsConvergeToStore(t *testing.T) {
	// The rarest fault that this test has found occurs in about one of ninety histories, and one call of rapid.Check
	// tries one hundred.
	for range 20 {
		rapid.Check(t, checkHostsConverge)
	}
}

func checkHostsConverge(t *rapid.T) {
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
			if !l.reading && joins[i+1] <= now && (i == 0 || before.reading) {
				l.join(before)
			}
			if rapid.Bool().Draw(t, "reads now") {
				l.applyPending(before)
			}
		}
		if now == last {
			break
		}
		next := rapid.IntRange(now+1, last).Draw(t, "watched to")
		if rapid.IntRange(0, 4).Draw(t, "listed again") == 0 {
			chain[0].PutList(h.list(next))
		} else {
			chain[0].PutWatched(h.since(now, next))
		}
		now = next
	}
	for i, l := range chain {
		if i > 0 && !l.reading {
			break
		}
		if i > 0 {
			l.applyPending(chain[i-1])
		}
		if got, want := paritiesOf(l.Get().Items), paritiesOf(h.states[last]); !maps.Equal(got, want) {
			t.Fatalf("host %d has %v, but the store has %v", i, got, want)
		}
	}
}

func sameParity(_ time.Time, before, after int) bool { return before%2 == after%2 }
