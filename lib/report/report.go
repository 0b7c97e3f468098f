package report

// Report is what an endpoint says of itself; it may lag or mislead.
type Report struct {
	// Incarnation tells one start of the endpoint from the next, empty where it is not reported.
	Incarnation string `json:"incarnation,omitempty"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
}
