package capacity

// Capacity is what one endpoint may be given at present.
type Capacity struct {
	Endpoint string `json:"endpoint"`
	// Limit is the most requests in flight at the endpoint over all borrowers.
	Limit int `json:"limit"`
	// Most is the limit for work that has waited for long; one below Limit counts as Limit.
	Most int `json:"most,omitempty"`
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

// WithMost returns a copy with the given limit for work that has waited for long.
func (c Capacity) WithMost(most int) Capacity {
	c.Most = most
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
