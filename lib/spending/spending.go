package spending

import "time"

// Spending is what control traffic has cost so far, and how coarse it has become.
type Spending struct {
	// Budget and Rate are in bytes per second; Rate counts what was refused too.
	Budget int64 `json:"budget_bytes_per_second"`
	Rate   int64 `json:"rate_bytes_per_second"`
	// Hold is the time for which idle credits are kept, the longer the coarser.
	Hold            time.Duration `json:"hold_ns"`
	AllowedMessages uint64        `json:"allowed_messages"`
	AllowedBytes    uint64        `json:"allowed_bytes"`
	// ChargedBytes is what went out without being asked for, such as heartbeats and configuration.
	ChargedBytes uint64 `json:"charged_bytes"`
	// OverspentBytes is the part of the charged bytes that the budget could not bear.
	OverspentBytes  uint64 `json:"overspent_bytes"`
	RefusedMessages uint64 `json:"refused_messages"`
	RefusedBytes    uint64 `json:"refused_bytes"`
	// Coarsened is how often the hold was raised to stay under the budget.
	Coarsened uint64 `json:"coarsened"`
	// Exhausted is how often the hold was at its longest and the budget still too small.
	Exhausted uint64 `json:"exhausted"`
}

// IsCoarse reports whether the budget ever kept control traffic from being as fine as wanted.
func (s Spending) IsCoarse() bool {
	return s.RefusedMessages > 0 || s.Coarsened > 0
}
