package arbiter

import (
	"time"

	"poplarhook.example/lib/holding"
	"poplarhook.example/lib/loan"
)

// State is a snapshot of an Arbiter for dumps.
type State struct {
	Group         string            `json:"group"`
	Owner         string            `json:"owner"`
	Waiting       int               `json:"waiting"`
	Idle          int               `json:"idle_credits"`
	InFlight      []holding.Holding `json:"in_flight"`
	LocalInFlight int               `json:"alone_in_flight"`
	EarlyFrames   int               `json:"early_frames"`
	Loans         []loan.Loan       `json:"loans,omitempty"`
	Conditions    []Condition       `json:"conditions,omitempty"`
}

// Condition is the state of one endpoint in the view of its group's owner.
type Condition struct {
	Endpoint string `json:"endpoint"`
	Open     bool   `json:"open"`
	Cold     bool   `json:"cold"`
	Limit    int    `json:"limit"`
	State    string `json:"state"`
	Reason   string `json:"reason"`
}

// State returns a snapshot for dumps.
func (a *Arbiter) State(now time.Time) State {
	s := State{
		Group:       a.group.String(),
		Owner:       a.owner,
		Waiting:     a.borrower.Waiting(),
		Idle:        a.borrower.Idle(),
		InFlight:    a.borrower.InFlight(),
		EarlyFrames: len(a.earlyFrames),
	}
	for _, count := range a.localInFlight {
		s.LocalInFlight += count
	}
	if a.ownership != nil {
		s.Loans = a.ownership.lender.Snapshot()
		s.Conditions = a.ownership.endpointConditions(now)
	}
	return s
}

func (o *ownership) endpointConditions(now time.Time) []Condition {
	conditions := make([]Condition, 0, len(o.endpoints))
	for _, h := range o.endpoints {
		w := o.warmers[h.ID]
		conditions = append(conditions, Condition{
			Endpoint: h.ID,
			Open:     w.Open(now),
			Cold:     w.Cold(now),
			Limit:    w.Limit(now, max(h.Slots, 1)),
			State:    w.State(now),
			Reason:   w.Reason(now, max(h.Slots, 1)),
		})
	}
	return conditions
}
