package traffic

// Counts is a reading of what the links moved since the process started.
type Counts struct {
	FramesIn  uint64 `json:"frames_in"`
	FramesOut uint64 `json:"frames_out"`
	// BytesIn and BytesOut are counted at the socket, so they hold the framing and TLS too.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
	// Refused counts the frames, greetings and connections that were not accepted.
	Refused uint64 `json:"refused"`
	// Dropped counts the frames that left a full queue unsent.
	Dropped uint64 `json:"dropped"`
	// OverBudget counts the frames that the limiter did not allow.
	OverBudget uint64 `json:"over_budget"`
	// Silenced counts the links closed because nothing arrived on them.
	Silenced uint64 `json:"silenced"`
}
