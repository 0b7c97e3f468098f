package supplier

import "sync"

// tally counts the changes of the store that watches have brought since everything was listed, safe for concurrent use.
type tally struct {
	mu sync.Mutex
	// lists is how many of the watched kinds were listed.
	lists int
	// base is the highest revision of those lists.
	base int64
	seen int64
}

// watchedKinds is how many kinds must be listed before changes can add up.
const watchedKinds = 3

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists, t.base, t.seen = 0, 0, 0
}

// listed takes in the revision of a list.
func (t *tally) listed(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists++
	t.base = max(t.base, revision)
}

// changed takes in changes that came after the lists.
func (t *tally) changed(changes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen += int64(changes)
}

// accounted returns the revision that lists and changes add up to.
func (t *tally) accounted() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.base + t.seen
}

// isBehind reports whether the store has changed more often than was seen, once everything was listed.
func (t *tally) isBehind(revision int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists >= watchedKinds && revision > t.base+t.seen
}
