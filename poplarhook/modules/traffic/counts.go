package traffic

// Counts holds the traffic counters of all links since the process started.
type Counts struct {
	FramesIn  uint64 `json:"frames_in"`
	FramesOut uint64 `json:"frames_out"`
	// BytesIn and BytesOut are counted at the socket and so include framing and TLS.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
	// Refused counts the frames, hello messages and connections that were refused.
	Refused uint64 `json:"refused"`
	// Dropped counts the frames that were removed unsent from a full queue.
	Dropped uint64 `json:"dropped"`
	// OverBudget counts the frames that the control limiter did not permit.
	OverBudget uint64 `json:"over_budget"`
	// TimedOut counts the links that were closed because nothing arrived on them.
	TimedOut uint64 `json:"silenced"`
}
