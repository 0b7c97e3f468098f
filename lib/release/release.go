package release

// Release returns Count credits for an endpoint to the owner.
type Release struct {
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
	// Completed is the number of requests that ended at the endpoint since the last release of its credits.
	Completed int `json:"completed"`
}
