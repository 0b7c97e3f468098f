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

// modelStore holds every version of the index; draws decide what a call shows and which replies are lost.
type modelStore struct {
	t        *rapid.T
	faulty   bool
	versions []object.Object
	late     []func()
	rival    func()
}

func (s *modelStore) draw(label string, outcomes ...string) string {
	if !s.faulty {
		return outcomes[0]
	}
	return rapid.SampledFrom(outcomes).Draw(s.t, label)
}

// step lets a late update or a rival act before the call.
func (s *modelStore) step() {
	switch s.draw("before", "nothing", "nothing", "late", "rival") {
	case "late":
		if len(s.late) > 0 {
			s.late[0]()
			s.late = s.late[1:]
		}
	case "rival":
		if act := s.rival; act != nil {
			s.rival = nil
			act()
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
	switch s.draw("put", "done", "done", "lost after", "lost on its way", "late", "unavailable") {
	case "lost after":
		_, _ = s.write(key, value, header)
		return 0, storer.ErrUnknownOutcome
	case "lost on its way":
		return 0, storer.ErrUnknownOutcome
	case "late":
		s.late = append(s.late, func() { _, _ = s.write(key, value, header) })
		return 0, storer.ErrUnknownOutcome
	case "unavailable":
		return 0, storer.ErrUnavailable
	}
	return s.write(key, value, header)
}

// Delete is not reached, as the history of a run stays short.
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

// entry is one host, as spec/configuration.pml has it.
type entry struct {
	adopter   *adopter.Adopter
	assembler *assembler.Assembler
	open      bool
}

// fleet is the hosts, the operators and the store.
type fleet struct {
	t       *rapid.T
	store   *modelStore
	hosts   []*entry
	inForce []snapshot.Snapshot
	told    map[string]error
}

func (f *fleet) newEntry() *entry {
	return &entry{adopter: adopter.New(), assembler: assembler.New(f.store)}
}

// publish is one operator's change, who gives up after some pauses.
func (f *fleet) publish() {
	id := fmt.Sprintf("change-%04d", len(f.told))
	f.told[id] = publisher.ErrUnknownOutcome
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	patience := 4
	pause := func(context.Context, time.Duration) error {
		if patience--; patience <= 0 {
			cancel()
		}
		return nil
	}
	p := publisher.New(f.store, validator.New(validator.WithZones(zones...)), publisher.WithPause(pause))
	zone := rapid.SampledFrom(zones).Draw(f.t, "zone")
	wanted := proposal.ForZoneOut(id, "tester", at(0), zone)
	if rapid.Bool().Draw(f.t, "in") {
		wanted = proposal.ForZoneIn(id, "tester", at(0), zone)
	}
	_, f.told[id] = p.Publish(ctx, wanted)
}

// heard is the highest revision that any other host runs.
func (f *fleet) heard(e *entry) int64 {
	highest := int64(0)
	for _, other := range f.hosts {
		if other != e {
			highest = max(highest, other.adopter.Revision())
		}
	}
	return highest
}

// watch takes what the store shows, as a relay does.
func (f *fleet) watch(e *entry) {
	found, err := f.store.Get(context.Background(), index.Key)
	if err != nil {
		return
	}
	x, err := assembler.Decode(found)
	if err != nil {
		f.t.Fatalf("decoding: %v", err)
	}
	heard := max(f.heard(e), e.adopter.Revision())
	if x.Revision < heard {
		return
	}
	s, err := e.assembler.Assemble(context.Background(), x)
	if errors.Is(err, assembler.ErrStale) {
		// A newer one was assembled before the peers were heard.
		return
	}
	if err != nil {
		f.t.Fatalf("revision %d over %d: %v", x.Revision, e.adopter.Revision(), err)
	}
	f.offer(e, s)
}

func (f *fleet) offer(e *entry, s snapshot.Snapshot) {
	before := e.adopter.Revision()
	adopted := e.adopter.Offer(at(0), s)
	after := e.adopter.Revision()
	if after < before || adopted != (e.open && s.Revision > before) {
		f.t.Fatalf("offered %d over %d (open %v): adopted %v, now %d", s.Revision, before, e.open, adopted, after)
	}
	if adopted {
		e.assembler.Applied(after)
		f.inForce = append(f.inForce, s)
	}
}

func (f *fleet) step() {
	i := rapid.IntRange(0, len(f.hosts)-1).Draw(f.t, "host")
	e := f.hosts[i]
	switch rapid.SampledFrom([]string{"publish", "watch", "watch", "receive", "receive", "open", "restart"}).Draw(f.t, "event") {
	case "publish":
		f.store.rival = f.publish
		f.publish()
	case "watch":
		f.watch(e)
	case "receive":
		if len(f.inForce) > 0 {
			f.offer(e, rapid.SampledFrom(f.inForce).Draw(f.t, "message"))
		}
	case "open":
		e.open = true
		e.adopter.Open()
	case "restart":
		f.hosts[i] = f.newEntry()
	}
}

// TestAcceptedChangesStayAndSpread drives the publisher, the assembler and the adopter by the steps of spec/configuration.pml.
func TestAcceptedChangesStayAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, store: &modelStore{t: t, faulty: true}, told: map[string]error{}}
		for range 3 {
			f.hosts = append(f.hosts, f.newEntry())
		}
		for range 40 {
			f.step()
		}
		f.store.faulty = false
		f.store.rival = nil
		for _, write := range f.store.late {
			write()
		}
		f.checkIndex()
		for _, e := range f.hosts {
			e.open = true
			e.adopter.Open()
			f.watch(e)
			if got := e.adopter.Revision(); got != int64(len(f.store.versions)) {
				t.Fatalf("a host runs %d, the index holds %d", got, len(f.store.versions))
			}
		}
	})
}

// checkIndex fails if an operator was told what the index does not bear out.
func (f *fleet) checkIndex() {
	if len(f.store.versions) == 0 {
		return
	}
	x, err := assembler.Decode(f.store.versions[len(f.store.versions)-1])
	if err != nil {
		f.t.Fatalf("decoding: %v", err)
	}
	held := map[string]int{}
	for _, change := range x.History {
		held[change.ChangeID]++
	}
	for id, told := range f.told {
		switch {
		case told == nil && held[id] != 1:
			f.t.Fatalf("%s was told as accepted, the index holds it %d times", id, held[id])
		case told != nil && !errors.Is(told, publisher.ErrUnknownOutcome) && held[id] != 0:
			f.t.Fatalf("%s was told as refused (%v), the index holds it", id, told)
		case held[id] > 1:
			f.t.Fatalf("%s is in the index %d times", id, held[id])
		}
	}
}
