package adopter_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/validator"
	"poplarhook.example/poplarhook/models/adopter"
)

var zones = []string{"fuerth", "bamberg", "kempten"}

// modelStore is a store with faults. It holds every version of the index; random draws decide which version a call
// returns and which replies are lost.
type modelStore struct {
	t        *rapid.T
	faulty   bool
	versions []object.Object
	// delayed holds the writes that take effect later, though their callers got no reply.
	delayed []func()
	// concurrentPublish is the change of another operator that may take place before a call.
	concurrentPublish func()
}

// draw returns a random one of the outcomes, or the first one if the store has no faults.
func (s *modelStore) draw(label string, outcomes ...string) string {
	if !s.faulty {
		return outcomes[0]
	}
	return rapid.SampledFrom(outcomes).Draw(s.t, label)
}

// step may apply a delayed write or run a concurrent publish before the call.
func (s *modelStore) step() {
	switch s.draw("before", "nothing", "nothing", "delayed write", "concurrent publish") {
	case "delayed write":
		if len(s.delayed) > 0 {
			s.delayed[0]()
			s.delayed = s.delayed[1:]
		}
	case "concurrent publish":
		if publish := s.concurrentPublish; publish != nil {
			s.concurrentPublish = nil
			publish()
		}
	}
}

func (s *modelStore) Get(context.Context, string) (object.Object, error) {
	s.step()
	shown := len(s.versions)
	switch s.draw("get", "newest", "newest", "older", "unavailable") {
	case "older":
		shown = rapid.IntRange(0, shown).Draw(s.t, "shown")
	case "unavailable":
		return object.Object{}, storer.ErrUnavailable
	}
	if shown == 0 {
		return object.Object{}, storer.ErrNotFound
	}
	return s.versions[shown-1], nil
}

func (s *modelStore) Put(_ context.Context, key string, value []byte, preconditions ...storer.Precondition) (int64, error) {
	s.step()
	header := http.Header{}
	for _, precondition := range preconditions {
		precondition(header)
	}
	switch s.draw("put", "done", "done", "reply lost", "request lost", "delayed", "unavailable") {
	case "reply lost":
		_, _ = s.write(key, value, header)
		return 0, storer.ErrUnknownOutcome
	case "request lost":
		return 0, storer.ErrUnknownOutcome
	case "delayed":
		s.delayed = append(s.delayed, func() { _, _ = s.write(key, value, header) })
		return 0, storer.ErrUnknownOutcome
	case "unavailable":
		return 0, storer.ErrUnavailable
	}
	return s.write(key, value, header)
}

// Delete is never called, as the history of a run is too short for old versions to be deleted.
func (s *modelStore) Delete(context.Context, string, ...storer.Precondition) error {
	return storer.ErrUnavailable
}

func (s *modelStore) write(key string, value []byte, header http.Header) (int64, error) {
	newest := int64(len(s.versions))
	if tag := strings.Trim(header.Get("If-Match"), `"`); tag != "" && tag != fmt.Sprint(newest) {
		return 0, storer.ErrConflict
	}
	if header.Get("If-None-Match") == "*" && newest > 0 {
		return 0, storer.ErrConflict
	}
	s.versions = append(s.versions, object.Object{Key: key, Version: newest + 1, Value: value})
	return newest + 1, nil
}

// entry is one entry host, as modelled in spec/configuration.pml.
type entry struct {
	adopter   *adopter.Adopter
	assembler *assembler.Assembler
	open      bool
}

// fleet holds the entry hosts, the store and the results that the operators got.
type fleet struct {
	t                *rapid.T
	store            *modelStore
	hosts            []*entry
	adoptedSnapshots []snapshot.Snapshot
	// results holds the result of each published change by its id.
	results map[string]error
}

func (f *fleet) newEntry() *entry {
	return &entry{adopter: adopter.New(), assembler: assembler.New(f.store)}
}

// publish publishes the change of one operator, who gives up after a few pauses.
func (f *fleet) publish() {
	id := fmt.Sprintf("change-%04d", len(f.results))
	f.results[id] = publisher.ErrUnknownOutcome
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	attempts := 4
	pause := func(context.Context, time.Duration) error {
		if attempts--; attempts <= 0 {
			cancel()
		}
		return nil
	}
	p := publisher.New(f.store, validator.New(validator.WithZones(zones...)), publisher.WithPause(pause))
	zone := rapid.SampledFrom(zones).Draw(f.t, "zone")
	change := proposal.ForZoneOut(id, "tester", at(0), zone)
	if rapid.Bool().Draw(f.t, "in") {
		change = proposal.ForZoneIn(id, "tester", at(0), zone)
	}
	_, f.results[id] = p.Publish(ctx, change)
}

// highestPeerRevision returns the highest revision that any other host runs.
func (f *fleet) highestPeerRevision(e *entry) int64 {
	highest := int64(0)
	for _, other := range f.hosts {
		if other != e {
			highest = max(highest, other.adopter.Revision())
		}
	}
	return highest
}

// readStore offers the store's index to the host, as a relay does.
func (f *fleet) readStore(e *entry) {
	found, err := f.store.Get(context.Background(), index.Key)
	if err != nil {
		return
	}
	x, err := assembler.Decode(found)
	if err != nil {
		f.t.Fatalf("decoding the index: %v", err)
	}
	highest := max(f.highestPeerRevision(e), e.adopter.Revision())
	if x.Revision < highest {
		return
	}
	s, err := e.assembler.Assemble(context.Background(), x)
	if errors.Is(err, assembler.ErrStale) {
		// A newer revision was assembled before the peers' revisions were known.
		return
	}
	if err != nil {
		f.t.Fatalf("assembling revision %d on a host with revision %d: %v", x.Revision, e.adopter.Revision(), err)
	}
	f.offer(e, s)
}

func (f *fleet) offer(e *entry, s snapshot.Snapshot) {
	before := e.adopter.Revision()
	adopted := e.adopter.Offer(at(0), s)
	after := e.adopter.Revision()
	if after < before || adopted != (e.open && s.Revision > before) {
		f.t.Fatalf("revision %d offered to a host with revision %d (open is %v): adopted is %v, revision is now %d", s.Revision, before, e.open, adopted, after)
	}
	if adopted {
		e.assembler.Applied(after)
		f.adoptedSnapshots = append(f.adoptedSnapshots, s)
	}
}

func (f *fleet) step() {
	i := rapid.IntRange(0, len(f.hosts)-1).Draw(f.t, "host")
	e := f.hosts[i]
	switch rapid.SampledFrom([]string{"publish", "watch", "watch", "receive", "receive", "open", "restart"}).Draw(f.t, "event") {
	case "publish":
		f.store.concurrentPublish = f.publish
		f.publish()
	case "watch":
		f.readStore(e)
	case "receive":
		if len(f.adoptedSnapshots) > 0 {
			f.offer(e, rapid.SampledFrom(f.adoptedSnapshots).Draw(f.t, "message"))
		}
	case "open":
		e.open = true
		e.adopter.Enable()
	case "restart":
		f.hosts[i] = f.newEntry()
	}
}

// TestAcceptedChangesAreKeptAndReachAllHosts runs the publisher, the assembler and the adopter through random steps of
// the model in spec/configuration.pml. It guards against accepted changes that are lost from the index or miss a host.
func TestAcceptedChangesAreKeptAndReachAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, store: &modelStore{t: t, faulty: true}, results: map[string]error{}}
		for range 3 {
			f.hosts = append(f.hosts, f.newEntry())
		}
		for range 40 {
			f.step()
		}
		f.store.faulty = false
		f.store.concurrentPublish = nil
		for _, write := range f.store.delayed {
			write()
		}
		f.checkIndex()
		for _, e := range f.hosts {
			e.open = true
			e.adopter.Enable()
			f.readStore(e)
			if got := e.adopter.Revision(); got != int64(len(f.store.versions)) {
				t.Fatalf("a host runs revision %d, but the index has %d versions", got, len(f.store.versions))
			}
		}
	})
}

// checkIndex fails if the index contradicts the result that an operator got for a change.
func (f *fleet) checkIndex() {
	if len(f.store.versions) == 0 {
		return
	}
	x, err := assembler.Decode(f.store.versions[len(f.store.versions)-1])
	if err != nil {
		f.t.Fatalf("decoding the index: %v", err)
	}
	counts := map[string]int{}
	for _, change := range x.History {
		counts[change.ChangeID]++
	}
	for id, result := range f.results {
		switch {
		case result == nil && counts[id] != 1:
			f.t.Fatalf("change %s was reported as accepted, but the index has it %d times", id, counts[id])
		case result != nil && !errors.Is(result, publisher.ErrUnknownOutcome) && counts[id] != 0:
			f.t.Fatalf("change %s was reported as refused (%v), but the index has it", id, result)
		case counts[id] > 1:
			f.t.Fatalf("change %s is in the index %d times", id, counts[id])
		}
	}
}
