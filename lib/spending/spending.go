package spending

import "time"

// Spending is the control traffic of a host so far, and how far its budget has limited it.
type Spending struct {
	// Budget and Rate are in bytes per second; Rate includes refused messages.
	Budget int64 `json:"budget_bytes_per_second"`
	Rate   int64 `json:"rate_bytes_per_second"`
	// HoldTime is how long idle credits are kept; a longer hold time causes less control traffic.
	HoldTime        time.Duration `json:"hold_ns"`
	AllowedMessages uint64        `json:"allowed_messages"`
	AllowedBytes    uint64        `json:"allowed_bytes"`
	// ChargedBytes counts traffic that is sent without asking the budget first, such as heartbeats and configuration.
	ChargedBytes uint64 `json:"charged_bytes"`
	// OverspentBytes is the part of ChargedBytes that exceeded the budget.
	OverspentBytes  uint64 `json:"overspent_bytes"`
	RefusedMessages uint64 `json:"refused_messages"`
	RefusedBytes    uint64 `json:"refused_bytes"`
	// HoldTimeRaises is how often the hold time was raised to stay within the budget.
	HoldTimeRaises uint64 `json:"coarsened"`
	// Exhausted is how often the budget was too small even with the longest hold time.
	Exhausted uint64 `json:"exhausted"`
}

// IsLimited reports whether the budget ever refused a message or raised the hold time.
func (s Spending) IsLimited() bool {
	return s.RefusedMessages > 0 || s.HoldTimeRaises > 0
}
