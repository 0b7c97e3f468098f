package capacity

// Capacity is what one endpoint may be given at present.
type Capacity struct {
	Endpoint string `json:"endpoint"`
	// Limit is the most requests in flight at the endpoint over all borrowers.
	Limit int `json:"limit"`
	// Cold says that the endpoint gets single requests only.
	Cold bool `json:"cold"`
	// Open says that the endpoint may be given new work.
	Open bool `json:"open"`
}

// WithLimit returns a copy with the given limit.
func (c Capacity) WithLimit(limit int) Capacity {
	c.Limit = limit
	return c
}

// WithCold returns a copy that is cold or not.
func (c Capacity) WithCold(cold bool) Capacity {
	c.Cold = cold
	return c
}

// WithOpen returns a copy that is open or not.
func (c Capacity) WithOpen(open bool) Capacity {
	c.Open = open
	return c
}
