package release

// Release gives Count credits for an endpoint back.
type Release struct {
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
	// Completed is how many requests ended at the endpoint since the last release of its credits.
	Completed int `json:"completed"`
}
