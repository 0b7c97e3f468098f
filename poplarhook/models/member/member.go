package member

// Member is an entry host with its last heartbeat.
type Member struct {
	ID               string `json:"host_id"`
	Incarnation      string `json:"incarnation,omitempty"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address"`
	AdminAddress     string `json:"admin_address"`
	// Revision is that of the configuration which the host runs, zero for none.
	Revision int64 `json:"revision"`
	Leaving  bool  `json:"leaving"`
}

// WithRevision returns a copy that runs the given configuration.
func (m Member) WithRevision(revision int64) Member {
	m.Revision = revision
	return m
}

// WithLeaving returns a copy that leaves or stays.
func (m Member) WithLeaving(leaving bool) Member {
	m.Leaving = leaving
	return m
}
