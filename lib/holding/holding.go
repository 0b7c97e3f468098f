package holding

// Holding is the number of requests that a borrower has in flight at an endpoint.
type Holding struct {
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
}
