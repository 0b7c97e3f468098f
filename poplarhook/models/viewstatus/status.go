package viewstatus

import (
	"time"

	"poplarhook.example/lib/defect"
)

// Status is the known state of one entry host at one moment. It contains no request content and no secrets.
type Status struct {
	HostID           string `json:"host_id"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	// ReceivesUpdates is true while the host receives updates from the store or from a host that watches the store.
	ReceivesUpdates bool   `json:"heard"`
	Ready           bool   `json:"ready"`
	Stopping        bool   `json:"stopping"`
	Version         int64  `json:"configuration_version"`
	ChangeID        string `json:"configuration_change_id"`
	// Defects are the entries of the configuration that cannot be read.
	Defects []defect.Defect `json:"configuration_defects,omitempty"`
	// ConfirmedMSAgo is how long ago the configuration was last known to be current, in milliseconds, -1 if it never was.
	// It is given only where revocation is strict.
	ConfirmedMSAgo *int64 `json:"configuration_confirmed_ms_ago,omitempty"`
	// StoreRevision is the store revision of the newest list or change of endpoints that the host received.
	StoreRevision int64      `json:"store_revision"`
	ZonesOut      []string   `json:"zones_out"`
	Followers     int        `json:"hosts_that_read_from_this_one"`
	Endpoints     []Endpoint `json:"endpoints"`
	// Quota is the state of the quotas of workspaces; nil if there is no quota.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is the state of the quotas of workspaces on one host.
type Quota struct {
	// PoolHost is the pool host in use, and Delegated is true while it uses this host's share.
	PoolHost  string `json:"pool_host"`
	Delegated bool   `json:"delegated"`
	// Fraction is the part of all quotas that this host grants, for Delegations hosts.
	Fraction    float64 `json:"fraction"`
	Delegations int     `json:"delegations"`
	// Tokens are the tokens that this host can grant, by workspace; empty if it is no pool host.
	Tokens map[string]float64 `json:"tokens,omitempty"`
}

// Endpoint is the known state of one endpoint.
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
	SlowFactor       float64   `json:"slowness"`
	ReportedAt       time.Time `json:"reported_at,omitzero"`
	ColdUntil        time.Time `json:"cold_until,omitzero"`
	// FailureRate is the share of requests that the endpoint is expected to fail, from 0 to 1.
	FailureRate float64 `json:"failing"`
	// Replaced is true when another endpoint answered at the address.
	Replaced bool `json:"replaced,omitempty"`
	// Leaving is true when the endpoint has stated in an answer that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// QuietUntil is the end of the pause that the endpoint has asked for.
	QuietUntil time.Time `json:"quiet_until,omitzero"`
}
