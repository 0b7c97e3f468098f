package supplier

import "sync"

// tally counts the changes of the store that watches and polls have returned since all watched kinds were listed. It
// shows whether a watch missed a change, because each change raises the store's revision by one. It is safe for
// concurrent use.
type tally struct {
	mu sync.Mutex
	// extraKinds is the number of kinds that are watched in addition to watchedKinds.
	extraKinds int
	// listedKinds is the number of watched kinds that have been listed.
	listedKinds int
	// lowestListRevision is the lowest revision of those lists: a watch may have missed a change of the kind that was
	// listed first, made before the last kind was listed. Changes that a later list already contains are not counted
	// then, which may cause one unnecessary relisting.
	lowestListRevision int64
	// changesSeen is the number of changes that watches and polls have shown since the lists.
	changesSeen int64
	// polled is true once a poll has read the zones out of service after all watched kinds were listed, so differences
	// in the next poll are newer than those lists.
	polled bool
}

// watchedKinds is the number of kinds that are always watched and must be listed before the count of changes is
// meaningful.
const watchedKinds = 3

func (t *tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedKinds, t.lowestListRevision, t.changesSeen, t.polled = 0, 0, 0, false
}

// recordList counts one listed kind and records the revision of its list.
func (t *tally) recordList(revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedKinds++
	if t.listedKinds == 1 || revision < t.lowestListRevision {
		t.lowestListRevision = revision
	}
}

// recordChanges counts changes that a watch returned after the lists.
func (t *tally) recordChanges(changes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changesSeen += int64(changes)
}

// recordPoll counts the differences between a poll of the polled kind and the previous one. complete says whether all
// watched kinds were listed before the poll was sent: the answer to an earlier one may be older than those lists, and
// differences from it may be counted although the lists contain them.
func (t *tally) recordPoll(differences int, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.polled {
		t.changesSeen += int64(differences)
	}
	t.polled = complete && t.listedKinds >= watchedKinds+t.extraKinds
}

// explainedRevision returns the store revision that the lists and the counted changes explain.
func (t *tally) explainedRevision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lowestListRevision + t.changesSeen
}

// explainedByNow returns the store revision that the lists and the counted changes explain, and whether all kinds are
// listed.
func (t *tally) explainedByNow() (revision int64, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lowestListRevision + t.changesSeen, t.listedKinds >= watchedKinds+t.extraKinds
}

// isBehind reports whether all kinds are listed and the store's revision is higher than the counted changes explain.
func (t *tally) isBehind(revision int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedKinds >= watchedKinds+t.extraKinds && revision > t.lowestListRevision+t.changesSeen
}
