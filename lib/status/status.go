package status

import "poplarhook.example/lib/defect"

// States of entry hosts and of endpoints.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
	HostSilent  = "silent"

	EndpointWarm    = "warm"
	EndpointCold    = "cold"
	EndpointLeaving = "leaving"
	EndpointOut     = "out"
	EndpointFailed  = "failed"
)

// Status is the known state of the entry host that answers; it may be outdated.
type Status struct {
	HostID    string     `json:"host_id"`
	Revision  int64      `json:"revision"`
	Hosts     []Host     `json:"hosts"`
	Endpoints []Endpoint `json:"endpoints"`
	Calls     Calls      `json:"store_calls"`
}

// Host is an entry host with the configuration revision that it runs; the host that answers is listed too.
type Host struct {
	ID               string `json:"id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	AdminAddress     string `json:"admin_address"`
	Revision         int64  `json:"revision"`
	State            string `json:"state"`
	// Defects are the entries of the configuration that the host cannot read.
	Defects []defect.Defect `json:"defects,omitempty"`
}

// Endpoint is an endpoint with its state and the reason for that state.
type Endpoint struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"`
	Reason           string `json:"reason,omitempty"`
}

// Calls counts the calls to the store of the platform that the answering host has made since its start.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Runs reports whether every live entry host runs the revision or a later one.
// It returns false if no host is live.
func (s Status) Runs(revision int64) bool {
	live := 0
	for _, host := range s.Hosts {
		if host.State != HostLive {
			continue
		}
		if host.Revision < revision {
			return false
		}
		live++
	}
	return live > 0
}
