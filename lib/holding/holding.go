package holding

// Holding is how many requests a borrower has in flight at an endpoint.
type Holding struct {
	Endpoint string `json:"endpoint"`
	Count    int    `json:"count"`
}
