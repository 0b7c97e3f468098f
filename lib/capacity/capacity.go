package capacity

// Capacity is how many requests one endpoint may be given at present.
type Capacity struct {
	Endpoint string `json:"endpoint"`
	// Limit is the maximum number of requests in flight at the endpoint, over all borrowers.
	Limit int `json:"limit"`
	// HardLimit is the limit that applies to demands that have waited long; a value below Limit counts as Limit.
	HardLimit int `json:"most,omitempty"`
	// Cold says that the endpoint is given single requests only.
	Cold bool `json:"cold"`
	// Open says that the endpoint may be given new requests; otherwise it is closed.
	Open bool `json:"open"`
}

// WithLimit returns a copy with the given limit.
func (c Capacity) WithLimit(limit int) Capacity {
	c.Limit = limit
	return c
}

// WithHardLimit returns a copy with the given limit for demands that have waited long.
func (c Capacity) WithHardLimit(limit int) Capacity {
	c.HardLimit = limit
	return c
}

// WithCold returns a copy with the given value of Cold.
func (c Capacity) WithCold(cold bool) Capacity {
	c.Cold = cold
	return c
}

// WithOpen returns a copy with the given value of Open.
func (c Capacity) WithOpen(open bool) Capacity {
	c.Open = open
	return c
}
