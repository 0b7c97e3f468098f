package belief

import "time"

// Belief is what one entry host knows at one moment; it holds no content of any request and no secret.
type Belief struct {
	HostID           string `json:"host_id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	// Heard says that the store, or a host that follows it, keeps this host up to date.
	Heard    bool   `json:"heard"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	Version  int64  `json:"configuration_version"`
	ChangeID string `json:"configuration_change_id"`
	// StoreRevision is that of the newest list or change of endpoints.
	StoreRevision int64      `json:"store_revision"`
	ZonesOut      []string   `json:"zones_out"`
	Followers     int        `json:"hosts_that_read_from_this_one"`
	Endpoints     []Endpoint `json:"endpoints"`
}

// Endpoint is what the host knows of one endpoint.
type Endpoint struct {
	ID               string    `json:"id"`
	Incarnation      string    `json:"incarnation"`
	Service          string    `json:"service"`
	Region           string    `json:"region"`
	AvailabilityZone string    `json:"availability_zone"`
	Address          string    `json:"address"`
	State            string    `json:"state"`
	InFlight         int       `json:"in_flight"`
	Running          int       `json:"running"`
	Waiting          int       `json:"waiting"`
	Slowness         float64   `json:"slowness"`
	ReportedAt       time.Time `json:"reported_at,omitzero"`
	ColdUntil        time.Time `json:"cold_until,omitzero"`
	// Failing is the share of requests that it is expected to fail.
	Failing float64 `json:"failing"`
	// Replaced says that another endpoint answered at the address.
	Replaced bool `json:"replaced,omitempty"`
}
