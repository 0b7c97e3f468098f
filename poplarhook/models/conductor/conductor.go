package conductor

import (
	"slices"
	"time"

	"poplarhook.example/lib/rollout"
	"poplarhook.example/poplarhook/models/trial"
)

const (
	// limitFraction is the fraction of the deployment's bound on exposure that is used, so that requests on their way
	// and hosts that were not heard yet do not exceed it.
	limitFraction = 0.9
	// trialFraction is the part of the limit that is used during the trial. The rest is used under load.
	trialFraction = 0.5
	// loadShare is the share of a service's requests that the target version gets under load at the most. A version that
	// replaces the old one with as many endpoints then has half of its later load.
	loadShare = 0.5
	// creditFraction is the fraction of the deployment's slack that all hosts together may use at once when an order
	// begins, slackFraction the fraction that is spread over the load phase. They matter most where requests are few.
	creditFraction = 0.4
	slackFraction  = 0.4
	// capacityFraction is the part of the target version's share of all slots that may be loaded in the load phase, so
	// that a version of which few endpoints have started does not seem slow.
	capacityFraction = 0.8
	// trialPart is the part of the time until the verdict that the trial takes; the load phase takes the rest.
	trialPart = 0.6
	// moveShare is the part of an order's duration that is kept for the move of all traffic, within the limits.
	moveShare    = 0.25
	minMoveTime  = 1500 * time.Millisecond
	maxMoveTime  = 10 * time.Second
	minVerdictAt = 0.4
	// moveDwell is the least time between the move and its completion, in which a fault that needs full load may show.
	moveDwell = 800 * time.Millisecond
	// silentAfter is the time without a report after which a host counts as stopped or cut off. Its requests are not
	// waited for at the end of an order.
	silentAfter = 2500 * time.Millisecond
	// lastShare is the part of an order's duration after which hosts that have been silent are no longer waited for.
	lastShare = 0.85
	// minExposed is the number of requests at the target version, or due to it, without any response from which it
	// counts as unable to respond.
	minExposed = 12
)

// Conductor decides the next state of an order from the present one. It is immutable.
type Conductor struct {
	self                     string
	exposeShare, exposeSlack float64
}

// New returns a Conductor for the host with the deployment's bounds on exposure.
func New(self string, exposeShare, exposeSlack float64) Conductor {
	return Conductor{self: self, exposeShare: exposeShare, exposeSlack: exposeSlack}
}

// Situation is what the decider knows of one service.
type Situation struct {
	Now time.Time
	// Order and State are the zero values if there are none.
	Order    rollout.Order
	HasOrder bool
	State    rollout.State
	HasState bool
	// Live are the versions that have endpoints which are not leaving; TargetSlots and OldSlots are the slots of the
	// target version and of the others.
	Live                  []string
	TargetSlots, OldSlots int
	Counts                trial.Counts
	// IsBad is true if the evidence shows that the target version is bad.
	IsBad bool
	// IsSuspicious is true if there is some evidence, so that the verdict should wait while there is time.
	IsSuspicious bool
	// Reporting and Silent are the hosts that have not moved: those heard within SilentAfter, and the others.
	Reporting, Silent []string
	// Heard is how many of the Hosts entry hosts have reported within SilentAfter.
	Heard, Hosts int
}

// SilentAfter returns the time without a report after which a host counts as silent.
func SilentAfter() time.Duration {
	return silentAfter
}

// Next returns the next state of the service, and whether it differs from the present one.
func (c Conductor) Next(s Situation) (rollout.State, bool) {
	isFor := s.HasState && s.HasOrder && s.State.IsFor(s.Order)
	switch {
	case isFor && s.State.Phase.IsActive():
		return c.nextActive(s)
	case isFor:
		return s.State, false
	case s.HasOrder && s.Order.Status == rollout.StatusCompleted && s.Order.StatusTarget == s.Order.Target:
		// The state of an order that is done was lost; there is nothing to do.
		return s.State, false
	case s.HasOrder:
		return c.begin(s), true
	case s.HasState && s.State.Phase.IsActive():
		return c.enter(s, rollout.Dropped, "the order was removed").WithRejected(s.State.Target), true
	default:
		return s.State, false
	}
}

// TakeOver returns the state with this host as its decider.
func (c Conductor) TakeOver(state rollout.State) rollout.State {
	state.Decider = c.self
	state.Term++
	state.Step++
	return state
}

// begin returns the first state of the order.
func (c Conductor) begin(s Situation) rollout.State {
	next := rollout.State{Rejected: s.State.Rejected, Revision: s.State.Revision}
	if s.HasState && s.State.Target != s.Order.Target && s.State.Phase.IsActive() {
		next = next.WithRejected(s.State.Target)
	}
	next = next.WithoutRejected(s.Order.Target)
	limit := c.exposeShare * limitFraction
	next.Service, next.Target, next.DurationMS = s.Order.Service, s.Order.Target, s.Order.DurationMS
	next.OrderRevision = s.Order.Revision
	next.Decider, next.Term, next.Step = c.self, s.State.Term+1, s.State.Step+1
	next.Phase, next.Reason = rollout.Trial, "the order is new"
	next.Limit, next.Share = limit, limit*trialFraction
	if s.Hosts > 1 {
		// A host that does not know the others yet cannot divide the slack among them.
		next.Credit = creditFraction * c.exposeSlack / float64(s.Hosts)
	}
	next.StartedMS, next.PhaseMS = s.Now.UnixMilli(), s.Now.UnixMilli()
	for _, version := range s.Live {
		if version != s.Order.Target && !next.IsRejected(version) {
			next.Old = append(next.Old, version)
		}
	}
	if len(next.Old) == 0 && len(s.Live) > 0 {
		// There is nothing to compare the version with and no other endpoint to use.
		next.Phase, next.Share, next.Reason = rollout.Move, 1, "the service has no other version"
	}
	return next
}

// enter returns the state in the phase.
func (c Conductor) enter(s Situation, phase rollout.Phase, reason string) rollout.State {
	next := s.State
	next.Phase, next.Reason, next.PhaseMS = phase, reason, s.Now.UnixMilli()
	next.Step++
	next.Share, next.Limit = 0, 0
	return next
}

// nextActive returns the next state of an order that is carried out.
func (c Conductor) nextActive(s Situation) (rollout.State, bool) {
	if s.IsBad {
		return c.rollBack(s, "the version is worse than the one before"), true
	}
	age := s.Now.Sub(s.State.Started())
	verdictAt := VerdictAt(s.State.Duration())
	switch {
	case s.State.Phase == rollout.Move:
		return c.nextMoving(s, age)
	case age >= verdictAt:
		return c.verdict(s, age)
	case s.State.Phase == rollout.Trial && age >= time.Duration(trialPart*float64(verdictAt)):
		return c.load(s, age, verdictAt), true
	default:
		return s.State, false
	}
}

// VerdictAt returns how long after the beginning of an order of the duration the verdict is given.
func VerdictAt(duration time.Duration) time.Duration {
	reserve := min(max(time.Duration(moveShare*float64(duration)), minMoveTime), maxMoveTime)
	return max(duration-reserve, time.Duration(minVerdictAt*float64(duration)))
}

// lastVerdictAt returns how long after the beginning of an order the verdict may wait for more responses.
func lastVerdictAt(duration time.Duration) time.Duration {
	return max(min(time.Duration(lastShare*float64(duration)), duration-minMoveTime), VerdictAt(duration))
}

func (c Conductor) rollBack(s Situation, reason string) rollout.State {
	return c.enter(s, rollout.RolledBack, reason).WithRejected(s.State.Target)
}

// verdict returns the state after a trial in which nothing was found.
//
// A decider that has just taken over waits until at least half of the hosts have reported.
func (c Conductor) verdict(s Situation, age time.Duration) (rollout.State, bool) {
	if 2*s.Heard < s.Hosts {
		if age < time.Duration(lastShare*float64(s.State.Duration())) {
			return s.State, false
		}
		return c.rollBack(s, "too few entry hosts have reported"), true
	}
	if s.IsSuspicious && age < lastVerdictAt(s.State.Duration()) {
		return s.State, false
	}
	due := max(float64(s.Counts.Exposed), c.exposeShare*float64(s.Counts.Requests))
	if s.Counts.New.Total().Responses() == 0 && due >= minExposed {
		return c.rollBack(s, "the version has answered no request"), true
	}
	return c.move(s, "the version is as good as the one before"), true
}

// move returns the state in which all traffic moves.
func (c Conductor) move(s Situation, reason string) rollout.State {
	next := c.enter(s, rollout.Move, reason)
	next.Share = 1
	for _, version := range s.Live {
		if version != next.Target && !next.IsRejected(version) && !slices.Contains(next.Old, version) {
			next.Old = append(slices.Clone(next.Old), version)
		}
	}
	return next
}

// load returns the state under load. Services with few requests use a part of the slack, since a share of few requests
// shows little.
func (c Conductor) load(s Situation, age, verdictAt time.Duration) rollout.State {
	next := c.enter(s, rollout.Load, "nothing was found in the trial")
	next.Limit = s.State.Limit
	if s.Counts.Requests > 0 && age > 0 {
		expected := float64(s.Counts.Requests) * float64(verdictAt-age) / float64(age)
		next.Limit = min(next.Limit+slackFraction*c.exposeSlack/max(expected, 1), 1)
	}
	capacity := capacityFraction * float64(s.TargetSlots) / float64(max(s.TargetSlots+s.OldSlots, 1))
	next.Share = max(min(loadShare, capacity), s.State.Share)
	return next
}

// nextMoving returns the next state of an order whose traffic moves.
//
// The move is complete when every host has no request at an old endpoint. A
// host that reports is always waited for, one that is silent only while
// there is time.
func (c Conductor) nextMoving(s Situation, age time.Duration) (rollout.State, bool) {
	if s.Now.Sub(time.UnixMilli(s.State.PhaseMS)) < moveDwell || len(s.Reporting) > 0 {
		return s.State, false
	}
	if len(s.Silent) > 0 && age < time.Duration(lastShare*float64(s.State.Duration())) {
		return s.State, false
	}
	return c.enter(s, rollout.Completed, "all hosts have moved").WithRejected(s.State.Old...), true
}

// Status returns the status of an order to report to the platform for the phase.
func Status(p rollout.Phase) string {
	switch p {
	case rollout.Completed:
		return rollout.StatusCompleted
	case rollout.RolledBack:
		return rollout.StatusRolledBack
	default:
		return rollout.StatusRunning
	}
}
