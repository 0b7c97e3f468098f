package supplier

import "sync"

// tally counts the changes of the store that watches have brought since everything was listed, safe for concurrent use.
type tally struct {
	mu sync.Mutex
	// lists is how many of the watched kinds were listed.
	lists int
	// base is the lowest revision of those lists: of the kind that was listed first a change may have been missed
	// before the last one was listed. Changes that a later list holds already are then missed in the sum, so that all
	// is listed once more than it need be.
	base int64
	seen int64
	// polled says that the polled kind was read after the lists, so that what differs in the next reading came after them.
	polled bool
}

// watchedKinds is how many kinds must be listed before changes can add up.
const watchedKinds = 3

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists, t.base, t.seen, t.polled = 0, 0, 0, false
}

// listed takes in the revision of a list.
func (t *tally) listed(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists++
	if t.lists == 1 || revision < t.base {
		t.base = revision
	}
}

// changed takes in changes that came after the lists.
func (t *tally) changed(changes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen += int64(changes)
}

// read takes in how much a reading of the polled kind differs from the one before.
func (t *tally) read(differences int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.polled {
		t.seen += int64(differences)
	}
	t.polled = t.lists >= watchedKinds
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
