package member

// Member is an entry host with the state from its last heartbeat.
type Member struct {
	ID               string `json:"host_id"`
	Incarnation      string `json:"incarnation,omitempty"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address"`
	AdminAddress     string `json:"admin_address"`
	// Revision is the revision of the configuration that the host runs, zero for none.
	Revision int64 `json:"revision"`
	Leaving  bool  `json:"leaving"`
}

// WithRevision returns a copy that runs the configuration with the given revision.
func (m Member) WithRevision(revision int64) Member {
	m.Revision = revision
	return m
}

// WithLeaving returns a copy that is leaving or not.
func (m Member) WithLeaving(leaving bool) Member {
	m.Leaving = leaving
	return m
}
