package relayer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/storer"
	"poplarhook.example/lib/wire"
	"poplarhook.example/poplarhook/models/member"
	"poplarhook.example/poplarhook/models/roster"
	"poplarhook.example/poplarhook/services/relayer"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// store is the platform's store in memory, with faults that a test injects.
type store struct {
	mu              sync.Mutex
	changed         chan struct{}
	version         int64
	objects         map[string]object.Object
	frozenObjects   map[string]object.Object
	down            bool
	unreachableFrom map[string]bool
	watching        map[string]bool // hosts that have an open watch
}

func newStore() *store {
	return &store{
		changed: make(chan struct{}), objects: map[string]object.Object{},
		unreachableFrom: map[string]bool{}, watching: map[string]bool{},
	}
}

// update changes the state of the store and wakes all watches.
func (s *store) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.version++
	s.objects[key] = object.Object{Key: key, Version: s.version, Value: encoded}
}

// accept writes a change as the publisher does: first a document, then the index.
func (s *store) accept(revision int64, zonesOut ...string) {
	s.update(func() {
		key := fmt.Sprintf("config/documents/%d", revision)
		s.put(key, document.Document{Team: "fabric"})
		s.put(index.Key, index.Index{
			Revision: revision, ZonesOut: zonesOut,
			Documents: []index.Entry{{Team: "fabric", Key: key}},
		})
	})
}

// freezeReads makes all later reads return the objects as they are now, even after later writes.
func (s *store) freezeReads() {
	s.update(func() { s.frozenObjects = maps.Clone(s.objects) })
}

func (s *store) setDown(down bool) {
	s.update(func() { s.down = down })
}

func (s *store) setUnreachableFrom(unreachable bool, hosts ...string) {
	s.update(func() {
		for _, id := range hosts {
			s.unreachableFrom[id] = unreachable
		}
	})
}

func (s *store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for id, open := range s.watching {
		if open {
			hosts = append(hosts, id)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// storeView is the store as seen by one host.
type storeView struct {
	*store
	host string
}

func (v storeView) Get(_ context.Context, key string) (object.Object, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.read(key)
}

func (v storeView) read(key string) (object.Object, error) {
	objects := v.objects
	if v.frozenObjects != nil {
		objects = v.frozenObjects
	}
	found, ok := objects[key]
	switch {
	case v.down || v.unreachableFrom[v.host]:
		return object.Object{}, storer.ErrUnavailable
	case !ok:
		return object.Object{}, storer.ErrNotFound
	default:
		return found, nil
	}
}

func (v storeView) endWatch() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watching[v.host] = false
}

func (v storeView) Watch(ctx context.Context, key string, after int64, wait time.Duration) (object.Object, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		v.mu.Lock()
		found, err := v.read(key)
		v.watching[v.host] = err == nil && found.Version <= after
		changed := v.changed
		v.mu.Unlock()
		if err != nil && !errors.Is(err, storer.ErrNotFound) {
			return found, err
		}
		if found.Version > after {
			return found, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			v.endWatch()
			return object.Object{}, ctx.Err()
		case <-timer.C:
			v.endWatch()
			return object.Object{}, storer.ErrUnchanged
		}
	}
}

// testCluster connects the hosts of one test by links in memory.
type testCluster struct {
	c           *qt.C
	store       *store
	mu          sync.Mutex
	hosts       map[string]*testHost
	partitioned map[[2]string]bool
	// dropRequests drops every request for a configuration, dropReplies every reply with one.
	dropRequests, dropReplies bool
}

// testHost is one host of the cluster; it records what its Relayer applies, receives and counts.
type testHost struct {
	*relayer.Relayer
	id      string
	cluster *testCluster
	roster  *roster.Roster
	inbox   chan func()
	stop    func()
	mu      sync.Mutex
	applied []int64
	replies []*wire.SnapshotReply
	counts  map[string]int
}

func newTestCluster(t *testing.T) *testCluster {
	t.Parallel()
	c := qt.New(t)
	w := &testCluster{c: c, store: newStore(), hosts: map[string]*testHost{}, partitioned: map[[2]string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	heartbeatsDone := make(chan struct{})
	go func() {
		defer close(heartbeatsDone)
		w.exchangeHeartbeats(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-heartbeatsDone
		for _, n := range w.hosts {
			n.stop()
			n.mu.Lock()
			for i := 1; i < len(n.applied); i++ {
				c.Check(n.applied[i] > n.applied[i-1], qt.IsTrue, qt.Commentf("%s applied %v", n.id, n.applied))
			}
			n.mu.Unlock()
		}
	})
	return w
}

// exchangeHeartbeats delivers heartbeats between all hosts that are not partitioned, until the context ends.
func (w *testCluster) exchangeHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		w.mu.Lock()
		for _, to := range w.hosts {
			to.roster.Tick(time.Now())
			for _, from := range w.hosts {
				self := from.roster.Self()
				if w.connected(from.id, to.id) {
					to.roster.RecordHeartbeat(time.Now(), self, self.Revision, self.Leaving)
				}
			}
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (w *testCluster) connected(a, b string) bool {
	return a != b && !w.partitioned[[2]string{min(a, b), max(a, b)}]
}

// setPartitioned cuts or restores the links between two sets of hosts.
func (w *testCluster) setPartitioned(partitioned bool, left, right []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range left {
		for _, b := range right {
			w.partitioned[[2]string{min(a, b), max(a, b)}] = partitioned
		}
	}
}

// start adds hosts with ids like "r0-a", whose first two characters are the region.
func (w *testCluster) start(ids ...string) {
	for _, id := range ids {
		self := member.Member{ID: id, Region: id[:2]}
		n := &testHost{id: id, cluster: w, inbox: make(chan func(), 1000), counts: map[string]int{}}
		n.roster = roster.New(time.Now(), self, roster.WithTimeout(200*time.Millisecond), roster.WithRemoteTimeout(300*time.Millisecond))
		view := storeView{store: w.store, host: id}
		n.Relayer = relayer.New(view, assembler.New(view), n, n.roster,
			relayer.WithWait(100*time.Millisecond), relayer.OnApply(n.recordApplied), relayer.WithCounter(n.count))
		ctx, cancel := context.WithCancel(context.Background())
		done := n.Run(ctx)
		delivered := make(chan struct{})
		go func() {
			defer close(delivered)
			for deliver := range n.inbox {
				deliver()
			}
		}()
		n.stop = func() {
			cancel()
			w.c.Check(<-done, qt.IsNil)
			w.mu.Lock()
			delete(w.hosts, id)
			close(n.inbox)
			w.mu.Unlock()
			<-delivered
		}
		w.mu.Lock()
		w.hosts[id] = n
		w.mu.Unlock()
	}
}

func (n *testHost) recordApplied(s snapshot.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applied = append(n.applied, s.Revision)
}

func (n *testHost) count(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counts[name]++
}

func (n *testHost) counted(name string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[name]
}

func (w *testCluster) setDropRequests(drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropRequests = drop
}

func (w *testCluster) setDropReplies(drop bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropReplies = drop
}

// Send delivers the frame in the receiver's goroutine, in the order of the calls.
func (n *testHost) Send(hostID string, frame *wire.Frame) error {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	to := n.cluster.hosts[hostID]
	if to == nil || !n.cluster.connected(n.id, hostID) {
		return errors.New("no link")
	}
	if n.cluster.dropRequests && frame.GetSnapshotRequest() != nil {
		n.count("request_lost")
		return nil
	}
	if n.cluster.dropReplies && frame.GetSnapshotReply() != nil {
		return nil
	}
	self := n.roster.Self()
	to.inbox <- func() {
		if heartbeat := frame.GetHeartbeat(); heartbeat != nil {
			to.roster.RecordHeartbeat(time.Now(), self, heartbeat.GetRevision(), heartbeat.GetLeaving())
		}
		if reply := frame.GetSnapshotReply(); reply != nil {
			to.mu.Lock()
			to.replies = append(to.replies, reply)
			to.mu.Unlock()
		}
		to.Handle(n.id, frame)
	}
	return nil
}

func (w *testCluster) revisions() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	revisions := map[string]int64{}
	for id, n := range w.hosts {
		s, _ := n.Current()
		revisions[id] = s.Revision
	}
	return revisions
}

// awaitRevision waits until the given hosts, or all if none are given, run the revision.
func (w *testCluster) awaitRevision(revision int64, ids ...string) {
	w.c.Helper()
	w.await(func() bool {
		revisions := w.revisions()
		for id, running := range revisions {
			if running != revision && (len(ids) == 0 || slices.Contains(ids, id)) {
				return false
			}
		}
		return true
	}, fmt.Sprintf("revision %d", revision))
}

func (w *testCluster) await(condition func() bool, what string) {
	w.c.Helper()
	const limit = 5 * time.Second
	deadline := time.After(limit)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			w.c.Fatalf("condition not met within %s: %s; revisions of the hosts: %v", limit, what, w.revisions())
		case <-tick.C:
		}
	}
}
