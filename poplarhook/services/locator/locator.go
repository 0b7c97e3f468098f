package locator

import (
	"slices"
	"sync/atomic"
	"time"

	"poplarhook.example/lib/class"
	"poplarhook.example/lib/classifier"
	"poplarhook.example/lib/host"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/poplarhook/models/directory"
	"poplarhook.example/poplarhook/models/group"
	"poplarhook.example/poplarhook/models/planner"
)

// Locator holds the platform's current host list and the current configuration. It is safe for concurrent use.
type Locator struct {
	planner    planner.Planner
	directory  atomic.Pointer[directory.Directory]
	snapshot   atomic.Pointer[snapshot.Snapshot]
	classifier atomic.Pointer[classifier.Classifier]
}

// New returns a Locator for an entry host in the region, without hosts or configuration.
func New(region string) *Locator {
	l := &Locator{planner: planner.New(region)}
	l.directory.Store(directory.New(0, nil))
	return l
}

// SetDirectory replaces the host list.
func (l *Locator) SetDirectory(d *directory.Directory) {
	l.directory.Store(d)
}

// Directory returns the current host list.
func (l *Locator) Directory() *directory.Directory {
	return l.directory.Load()
}

// SetSnapshot makes a configuration the current one.
func (l *Locator) SetSnapshot(s snapshot.Snapshot) {
	if c, known := l.Classifier(); known {
		l.classifier.Store(c.WithSnapshot(s))
	} else {
		l.classifier.Store(classifier.New(s))
	}
	l.snapshot.Store(&s)
}

// Snapshot returns the current configuration and whether there is one.
func (l *Locator) Snapshot() (snapshot.Snapshot, bool) {
	s := l.snapshot.Load()
	if s == nil {
		return snapshot.Snapshot{}, false
	}
	return *s, true
}

// Classifier returns the classifier of the current configuration and whether there is one.
func (l *Locator) Classifier() (*classifier.Classifier, bool) {
	c := l.classifier.Load()
	return c, c != nil
}

// Plan returns the groups that may serve the class, the preferred one first.
func (l *Locator) Plan(c class.Class) []group.Group {
	return l.planner.Plan(c, l.Directory().Regions())
}

// Endpoints returns the endpoints of a group that the current host list has.
func (l *Locator) Endpoints(g group.Group) []host.Host {
	return l.Directory().GetEndpointsByGroup(g)
}

// Groups returns every group that has endpoints in the current host list.
func (l *Locator) Groups() []group.Group {
	return l.Directory().Groups()
}

// IsZoneOut reports whether operators have taken the availability zone out of service.
func (l *Locator) IsZoneOut(zone string) bool {
	s, _ := l.Snapshot()
	return s.IsZoneOut(zone)
}

// OpenEndpoints returns the endpoints of a group that are neither leaving nor in an availability zone out of service.
// The caller must not change the slice.
func (l *Locator) OpenEndpoints(_ time.Time, g group.Group) []host.Host {
	s, _ := l.Snapshot()
	isClosed := func(h host.Host) bool { return h.IsLeaving() || s.IsZoneOut(h.AvailabilityZone) }
	all := l.Directory().GetEndpointsByGroup(g)
	if !slices.ContainsFunc(all, isClosed) {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), isClosed)
}
