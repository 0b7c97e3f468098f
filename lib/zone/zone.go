package zone

// Zone is an availability zone, in or taken out by operators.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

// WithOut returns a copy that is out or in.
func (z Zone) WithOut(out bool) Zone {
	z.Out = out
	return z
}
