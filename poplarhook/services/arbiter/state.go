package arbiter

import (
	"time"

	"poplarhook.example/lib/holding"
	"poplarhook.example/lib/loan"
)

// State is what an Arbiter knows and does, for dumps.
type State struct {
	Group      string            `json:"group"`
	Owner      string            `json:"owner"`
	Waiting    int               `json:"waiting"`
	Idle       int               `json:"idle_credits"`
	InFlight   []holding.Holding `json:"in_flight"`
	Alone      int               `json:"alone_in_flight"`
	Early      int               `json:"early_frames"`
	Loans      []loan.Loan       `json:"loans,omitempty"`
	Conditions []Condition       `json:"conditions,omitempty"`
}

// Condition is the state of one endpoint as its group's owner knows it.
type Condition struct {
	Endpoint string `json:"endpoint"`
	Open     bool   `json:"open"`
	Cold     bool   `json:"cold"`
	Limit    int    `json:"limit"`
	State    string `json:"state"`
	Reason   string `json:"reason"`
}

// State returns what the Arbiter knows and does.
func (a *Arbiter) State(now time.Time) State {
	s := State{
		Group:    a.group.String(),
		Owner:    a.owner,
		Waiting:  a.borrower.Waiting(),
		Idle:     a.borrower.Idle(),
		InFlight: a.borrower.InFlight(),
		Early:    len(a.early),
	}
	for _, count := range a.alone {
		s.Alone += count
	}
	if a.owned != nil {
		s.Loans = a.owned.lender.Snapshot()
		s.Conditions = a.owned.conditions(now)
	}
	return s
}

func (o *ownership) conditions(now time.Time) []Condition {
	conditions := make([]Condition, 0, len(o.hosts))
	for _, h := range o.hosts {
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
