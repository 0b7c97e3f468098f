package supplier

import "sync"

// tally counts the changes that watches have returned since all kinds were listed. It is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	// lists is the number of watched kinds that have been listed.
	lists int
	// base is the lowest revision of those lists: a watch may have missed a change of the kind that was listed first,
	// made before the last kind was listed. Changes that a later list already contains are not counted then, which may
	// cause one unnecessary relisting.
	base int64
	// changesSeen is the number of changes that watches and polls have shown since the lists.
	changesSeen int64
	// polled is true once the polled kind has been read after the lists, so differences in the next poll are newer than
	// the lists.
	polled bool
}

// watchedKinds is the number of kinds that must be listed before the count of changes is meaningful.
const watchedKinds = 3

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists, t.base, t.changesSeen, t.polled = 0, 0, 0, false
}

// recordList records the revision of a list.
func (t *tally) recordList(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists++
	if t.lists == 1 || revision < t.base {
		t.base = revision
	}
}

// recordChanges counts changes that a watch returned after the lists.
func (t *tally) recordChanges(changes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changesSeen += int64(changes)
}

// recordPoll counts the differences between a poll of the polled kind and the previous one.
func (t *tally) recordPoll(differences int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.polled {
		t.changesSeen += int64(differences)
	}
	t.polled = t.lists >= watchedKinds
}

// explainedRevision returns the store revision that the lists and the counted changes explain.
func (t *tally) explainedRevision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.base + t.changesSeen
}

// isBehind reports whether all kinds are listed and the store's revision is higher than the counted changes explain.
func (t *tally) isBehind(revision int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lists >= watchedKinds && revision > t.base+t.changesSeen
}
