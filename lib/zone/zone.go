package zone

// Zone is an availability zone, which operators may take out of service.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Out is true while the availability zone is out of service.
	Out bool `json:"out"`
}

// WithOut returns a copy that is out of service or in service.
func (z Zone) WithOut(out bool) Zone {
	z.Out = out
	return z
}
