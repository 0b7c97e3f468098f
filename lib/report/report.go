package report

// Report is the state that an endpoint reports about itself; it may be outdated or wrong.
type Report struct {
	// Incarnation identifies one start of the endpoint; empty if not reported.
	Incarnation string `json:"incarnation,omitempty"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
}
