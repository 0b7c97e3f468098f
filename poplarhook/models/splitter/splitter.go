package splitter

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/rollout"
	"poplarhook.example/poplarhook/models/trial"
)

// Splitter splits the requests of all services. It is not safe for concurrent use.
type Splitter struct {
	self string
	// hold is the time after which every host knows a change of the store. A version that is first seen without an order
	// is not used for that long.
	hold time.Duration
	// suspend is the time without contact to the decider after which this host sends nothing to a version on trial.
	suspend time.Duration

	services map[string]*service
	// ordersKnown is true once a list of orders has been received.
	ordersKnown bool
}

// service is the state of the split of one service.
type service struct {
	name string
	// firstSeen is when each listed version was first seen; live are the versions with endpoints that are not leaving.
	firstSeen map[string]time.Time
	live      map[string]bool
	inFlight  map[string]int

	order    rollout.Order
	hasOrder bool
	state    rollout.State
	hasState bool

	// counts belong to the order with the revision of the state; share is the sum of the shares of requests that is not
	// yet used up, limit the same for the limit.
	counts trial.Counts
	share  float64
	limit  float64
	// confirmedAt is when the decider last confirmed the state; haltedStep is the step of the state up to which the
	// target version must get nothing.
	confirmedAt time.Time
	haltedStep  int64
}

// New returns a Splitter for the host. It holds a new version back for the time hold unless there is an order, and
// sends nothing to a version on trial after the time suspend without contact to the decider.
func New(self string, hold, suspend time.Duration) *Splitter {
	return &Splitter{self: self, hold: hold, suspend: suspend, services: make(map[string]*service)}
}

func (s *Splitter) serviceOf(name string) *service {
	known := s.services[name]
	if known == nil {
		known = &service{
			name: name, firstSeen: make(map[string]time.Time), live: make(map[string]bool), inFlight: make(map[string]int),
		}
		s.services[name] = known
	}
	return known
}

// SetEndpoints replaces the list of endpoints. It must be called before the endpoints may be chosen.
func (s *Splitter) SetEndpoints(now time.Time, endpoints []host.Host) {
	for _, known := range s.services {
		clear(known.live)
	}
	listed := make(map[string]map[string]bool)
	for _, h := range endpoints {
		known := s.serviceOf(h.Service)
		if _, seen := known.firstSeen[h.Version]; !seen {
			known.firstSeen[h.Version] = now
		}
		if !h.IsLeaving() {
			known.live[h.Version] = true
		}
		if listed[h.Service] == nil {
			listed[h.Service] = make(map[string]bool)
		}
		listed[h.Service][h.Version] = true
	}
	for name, known := range s.services {
		for version := range known.firstSeen {
			if !listed[name][version] {
				delete(known.firstSeen, version)
			}
		}
	}
}

// SetOrders replaces the orders.
func (s *Splitter) SetOrders(orders map[string]rollout.Order) {
	s.ordersKnown = true
	for name, known := range s.services {
		if _, still := orders[name]; !still {
			known.order, known.hasOrder = rollout.Order{}, false
		}
	}
	for name, o := range orders {
		known := s.serviceOf(name)
		known.order, known.hasOrder = o, true
	}
}

// SetState applies the state of one service unless it is older than the known one, and reports whether it is newer.
func (s *Splitter) SetState(now time.Time, state rollout.State) bool {
	known := s.serviceOf(state.Service)
	if known.hasState && !state.IsNewerThan(known.state) {
		return false
	}
	term, isSameOrder := known.state.Term, known.hasState && known.state.OrderRevision == state.OrderRevision && known.state.Target == state.Target
	known.state, known.hasState = state, true
	if term != state.Term || !isSameOrder {
		known.confirmedAt = now
	}
	if !isSameOrder {
		known.counts, known.haltedStep = trial.Counts{}, 0
		known.limit = s.offset(state) + state.Credit
		known.share = known.limit
	}
	return true
}

// offset returns where in the sequence of its requests this host begins to send some to the target version. The offsets
// are spread over all hosts, so that together they send the share and not one request more for each host.
func (s *Splitter) offset(state rollout.State) float64 {
	hash := xxhash.Sum64String(s.self + "/" + state.Service + "/" + state.Target)
	return float64(hash>>11) / float64(1<<53)
}

// Confirm records that the decider has confirmed the state of the service.
func (s *Splitter) Confirm(now time.Time, name string) {
	s.serviceOf(name).confirmedAt = now
}

// Halt stops requests to the target version of the service until a newer state is known, and reports whether that is
// new. It has no effect once all traffic moves, since the old endpoints may then be about to stop.
func (s *Splitter) Halt(name string) bool {
	known := s.serviceOf(name)
	if known.state.Phase != rollout.Trial && known.state.Phase != rollout.Load || known.haltedStep >= known.state.Step {
		return false
	}
	known.haltedStep = known.state.Step
	return true
}

// Choose returns the versions that may serve the next attempt of a request to the service. Only the first attempt counts
// as a request and may go to a version on trial.
func (s *Splitter) Choose(now time.Time, name string, isFirst bool) Choice {
	known := s.serviceOf(name)
	isTarget := known.isOnTrial() && isFirst && s.takeShare(now, known)
	if isFirst && known.hasState && known.state.Phase == rollout.Move {
		known.counts.Requests++
		known.counts.Exposed++
	}
	return Choice{Service: name, IsTarget: isTarget, Versions: s.versions(now, known, isTarget)}
}

// takeShare counts a request and reports whether it goes to the version on trial.
func (s *Splitter) takeShare(now time.Time, known *service) bool {
	state := known.state
	known.counts.Requests++
	known.share = min(known.share+state.Share, maxBacklog)
	known.limit += state.Limit
	if !s.maySendToTrial(now, known) || known.share < 1 || known.limit < 1 {
		return false
	}
	known.share--
	known.limit--
	known.counts.Exposed++
	return true
}

// maxBacklog bounds how many requests in a row go to a version on trial after it could not get its share.
const maxBacklog = 2

// maySendToTrial reports whether the version on trial may get requests now.
func (s *Splitter) maySendToTrial(now time.Time, known *service) bool {
	return known.live[known.state.Target] && known.haltedStep < known.state.Step && s.isCurrent(known) &&
		now.Sub(known.confirmedAt) < s.suspend
}

// isCurrent reports whether the state belongs to the order of the service.
func (s *Splitter) isCurrent(known *service) bool {
	return known.hasOrder && known.state.IsFor(known.order)
}

// isOnTrial reports whether a version gets a share of the requests.
func (k *service) isOnTrial() bool {
	return k.hasState && (k.state.Phase == rollout.Trial || k.state.Phase == rollout.Load)
}

// Withdraw returns the share of an attempt that was not sent to the target version, and returns the choice without it.
func (s *Splitter) Withdraw(now time.Time, c Choice) Choice {
	known := s.serviceOf(c.Service)
	if c.IsTarget {
		known.limit++
		known.counts.Exposed = max(known.counts.Exposed-1, 0)
	}
	return Choice{Service: c.Service, Versions: s.versions(now, known, false)}
}

// Begin counts an attempt as in flight at an endpoint of the version, and reports false if the version may not serve it
// any more.
func (s *Splitter) Begin(now time.Time, c Choice, version string) bool {
	known := s.serviceOf(c.Service)
	if c.IsTarget && known.isOnTrial() && !s.maySendToTrial(now, known) {
		return false
	}
	if !slices.Contains(s.versions(now, known, c.IsTarget), version) {
		return false
	}
	known.inFlight[version]++
	return true
}

// Outcome is how an attempt ended.
type Outcome struct {
	// Responded is true if the endpoint gave a complete response.
	Responded bool
	Failed    bool
	// Late is true if this host did not wait for the response.
	Late bool
	// Slowed is true if the endpoint had reported that it takes much longer than usual.
	Slowed bool
	// Took is the time of the response without that of the network and without what the endpoint's machine adds; it is
	// zero if it shows nothing about the version.
	Took time.Duration
}

// Finish counts the end of an attempt at an endpoint of the version.
func (s *Splitter) Finish(name, version, class string, o Outcome) {
	known := s.serviceOf(name)
	if known.inFlight[version] > 1 {
		known.inFlight[version]--
	} else {
		delete(known.inFlight, version)
	}
	if !known.hasState || !known.state.Phase.IsActive() {
		return
	}
	samples := &known.counts.Old
	if version == known.state.Target {
		samples = &known.counts.New
	}
	var sample trial.Sample
	switch {
	case o.Failed:
		sample.Failures = 1
	case o.Late:
		sample.Times = map[int]int64{trial.LateBucket: 1}
	case o.Responded && o.Took > 0:
		sample.Times = map[int]int64{trial.Bucket(o.Took): 1}
	default:
		return
	}
	if o.Slowed {
		sample.Slowed = 1
	}
	if *samples == nil {
		*samples = make(trial.Samples)
	}
	(*samples)[class] = (*samples)[class].Plus(sample)
}

// versions returns the versions of the service that may serve a request: the target version if isTarget is set, all
// others that are allowed if not.
func (s *Splitter) versions(now time.Time, known *service, isTarget bool) []string {
	if isTarget {
		if s.isCurrent(known) && known.state.Phase.IsActive() {
			return []string{known.state.Target}
		}
		return nil
	}
	var versions []string
	for version := range known.firstSeen {
		if s.isOrdinary(now, known, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// isOrdinary reports whether requests may be sent to the version that are not part of a trial.
func (s *Splitter) isOrdinary(now time.Time, known *service, version string) bool {
	isTarget := known.hasState && known.state.Target == version
	switch {
	case known.hasState && known.state.IsRejected(version):
		return false
	case isTarget && known.state.Phase == rollout.Completed:
		return true
	case known.hasState && known.state.Phase == rollout.Move && s.isMoveValid(known):
		return isTarget
	case isTarget:
		return false
	case known.hasOrder && known.order.Target == version:
		return known.order.Status == rollout.StatusCompleted
	default:
		return !s.isHeld(now, known, version)
	}
}

// isMoveValid reports whether the traffic still moves to the target version: its order was not removed or replaced. A
// host that has no list of orders yet trusts the state.
func (s *Splitter) isMoveValid(known *service) bool {
	return !s.ordersKnown || s.isCurrent(known)
}

// isHeld reports whether the version was first seen so recently that its order may not be known yet. The oldest version
// of a service is never held.
func (s *Splitter) isHeld(now time.Time, known *service, version string) bool {
	seen := known.firstSeen[version]
	if now.Sub(seen) >= s.hold {
		return false
	}
	if !s.ordersKnown && len(known.live) > 1 {
		// The host has just started and any of the versions may be the target of an order.
		return true
	}
	for other, otherSeen := range known.firstSeen {
		isOlder := otherSeen.Before(seen) || otherSeen.Equal(seen) && compareVersions(other, version) < 0
		isUsable := known.live[other] && (!known.hasState || !known.state.IsRejected(other))
		if isOlder && isUsable {
			return true
		}
	}
	return false
}

// compareVersions orders texts such as v9 and v10 by their numbers.
func compareVersions(a, b string) int {
	return cmp.Or(cmp.Compare(len(strings.TrimLeft(a, "v0")), len(strings.TrimLeft(b, "v0"))), strings.Compare(a, b))
}

// Report returns the report of the service, and whether there is anything to report.
func (s *Splitter) Report(name string) (trial.ServiceReport, bool) {
	known := s.services[name]
	if known == nil || !known.hasState || !known.state.Phase.IsActive() {
		return trial.ServiceReport{}, false
	}
	return trial.ServiceReport{
		Service: name, OrderRevision: known.state.OrderRevision, Target: known.state.Target, Step: known.state.Step,
		Moved: known.hasMoved(), Counts: known.counts.Plus(trial.Counts{}),
	}, true
}

// hasMoved reports whether all traffic moves and no request is at an old endpoint any more.
func (k *service) hasMoved() bool {
	if k.state.Phase != rollout.Move {
		return false
	}
	for version := range k.inFlight {
		if version != k.state.Target {
			return false
		}
	}
	return true
}

// Active returns the states of the services whose orders are being carried out, sorted by service.
func (s *Splitter) Active() []rollout.State {
	var active []rollout.State
	for _, known := range s.services {
		if known.hasState && known.state.Phase.IsActive() {
			active = append(active, known.state)
		}
	}
	slices.SortFunc(active, func(a, b rollout.State) int { return strings.Compare(a.Service, b.Service) })
	return active
}

// Live returns the versions of the service with endpoints that are not leaving, sorted.
func (s *Splitter) Live(name string) []string {
	var versions []string
	for version := range s.serviceOf(name).live {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return versions
}

// InFlight returns the number of attempts in flight at endpoints of the version.
func (s *Splitter) InFlight(name, version string) int {
	return s.serviceOf(name).inFlight[version]
}
