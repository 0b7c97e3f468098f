package entry

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/proposal"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/snapshot"
	"poplarhook.example/lib/spending"
	"poplarhook.example/lib/status"
	"poplarhook.example/lib/validator"
	"poplarhook.example/lib/warmer"
	"poplarhook.example/lib/zone"
	"poplarhook.example/poplarhook/models/member"
	"poplarhook.example/poplarhook/modules/authorizer"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/modules/settings"
	"poplarhook.example/poplarhook/modules/traffic"
	"poplarhook.example/poplarhook/routers/administrator"
	"poplarhook.example/poplarhook/services/arbiter"
)

// newAdministrator builds the handler of the operators' API.
func (e *Entry) newAdministrator() (http.Handler, error) {
	authorize, err := authorizer.New(e.settings.AdminTokens)
	if err != nil {
		return nil, errors.Wrap(settings.ErrInvalid, err.Error())
	}
	publish := publisher.New(e.store, validator.New(
		validator.WithRegionsFrom(func() []string { return e.locator.Directory().Regions() }),
		validator.WithZonesFrom(e.zoneNames)),
		publisher.WithOnAccepted(e.applyAccepted))
	return administrator.New(publish, authorize,
		administrator.WithReady(e.checkReady),
		administrator.WithMetrics(e.meter.Handler()),
		administrator.WithState(func(context.Context) any { return e.newDump() }),
		administrator.WithStatus(func(context.Context) status.Status { return e.status() }),
		administrator.WithZones(e.zones),
		administrator.WithCounter(e.meter.Count),
		administrator.WithLogger(e.logger),
	), nil
}

// applyAccepted adopts a change that was accepted through this host, so that it takes effect even if the store becomes
// unavailable right afterwards.
func (e *Entry) applyAccepted(x index.Index, p proposal.Proposal) {
	if d, isDocument := p.Document(); isDocument {
		if entry, found := x.Entry(d.Team); found {
			e.assembler.AddDocument(entry.Key, d)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.StoreTimeout)
	defer cancel()
	s, err := e.assembler.Assemble(ctx, x)
	if err == nil {
		_, err = e.relayer.Offer(s)
	}
	if err != nil {
		e.meter.Count("accepted_change_not_offered")
	}
}

// dump is the state of the process; it contains no content of requests.
type dump struct {
	HostID      string             `json:"host_id"`
	Ready       string             `json:"ready"`
	Snapshot    *snapshot.Snapshot `json:"snapshot"`
	HostList    int64              `json:"host_list_version"`
	Members     []member.Member    `json:"members"`
	Connected   []string           `json:"connected"`
	Traffic     traffic.Counts     `json:"peer_traffic"`
	Spending    spending.Spending  `json:"control_spending"`
	Groups      []arbiter.State    `json:"groups"`
	Connections exchanger.Counts   `json:"endpoint_connections"`
	StoreCalls  status.Calls       `json:"store_calls"`
}

// newDump returns the current state of this host.
func (e *Entry) newDump() dump {
	d := dump{
		HostID:      e.settings.HostID,
		Ready:       "yes",
		HostList:    e.locator.Directory().Version(),
		Members:     e.roster.Live(e.clock()),
		Connected:   e.links.Connected(),
		Traffic:     e.links.Counts(),
		Spending:    e.controlLimiter.Spending(),
		Groups:      e.coordinator.States(),
		Connections: e.sender.Counts(),
		StoreCalls:  e.storeCalls(),
	}
	if err := e.checkReady(); err != nil {
		d.Ready = err.Error()
	}
	if s, ok := e.locator.Snapshot(); ok {
		d.Snapshot = &s
	}
	return d
}

func (e *Entry) storeCalls() status.Calls {
	reads, writes, watches := e.store.Counts()
	return status.Calls{Reads: reads, Writes: writes, Watches: watches}
}

// status returns the status of all entry hosts and endpoints as this host knows it.
func (e *Entry) status() status.Status {
	s, _ := e.locator.Snapshot()
	result := status.Status{HostID: e.settings.HostID, Revision: s.Revision, Calls: e.storeCalls()}
	live := make(map[string]bool)
	for _, m := range e.roster.Live(e.clock()) {
		live[m.ID] = true
		result.Hosts = append(result.Hosts, liveHostStatus(m))
	}
	for _, h := range e.locator.Directory().Entries() {
		if !live[h.ID] {
			result.Hosts = append(result.Hosts, silentHostStatus(h))
		}
	}
	result.Endpoints = e.endpointStatuses()
	return result
}

// silentHostStatus returns the status of an entry host that is in the host list but sends no heartbeats.
func silentHostStatus(h host.Host) status.Host {
	return status.Host{
		ID:               h.ID,
		Region:           h.Region,
		AvailabilityZone: h.AvailabilityZone,
		AdminAddress:     h.AdminAddress,
		State:            status.HostSilent,
	}
}

// liveHostStatus returns the status of an entry host that sends heartbeats.
func liveHostStatus(m member.Member) status.Host {
	state := status.HostLive
	if m.Leaving {
		state = status.HostLeaving
	}
	return status.Host{
		ID:               m.ID,
		Region:           m.Region,
		AvailabilityZone: m.AvailabilityZone,
		AdminAddress:     m.AdminAddress,
		Revision:         m.Revision,
		State:            state,
	}
}

// endpointStatuses returns the observed state of endpoints whose group this host owns, and for all other endpoints the
// state that the host list and the configuration give.
func (e *Entry) endpointStatuses() []status.Endpoint {
	owned := make(map[string]arbiter.Condition)
	for _, g := range e.coordinator.States() {
		for _, c := range g.Conditions {
			owned[c.Endpoint] = c
		}
	}
	var states []status.Endpoint
	for _, h := range e.locator.Directory().Endpoints() {
		s := status.Endpoint{ID: h.ID, Service: h.Service, Region: h.Region, AvailabilityZone: h.AvailabilityZone, State: status.EndpointWarm}
		c, known := owned[h.ID]
		switch {
		case e.locator.IsZoneOut(h.AvailabilityZone):
			s.State, s.Reason = status.EndpointOut, "zone_out"
		case known:
			s.State, s.Reason = endpointState(c), c.Reason
		case h.IsLeaving():
			s.State, s.Reason = status.EndpointLeaving, "listed_leaving"
		default:
			s.Reason = "seen_by_owner_only"
		}
		states = append(states, s)
	}
	return states
}

// endpointState returns the state of an observed endpoint in the words of the status report.
func endpointState(c arbiter.Condition) string {
	switch c.State {
	case warmer.StateNew, warmer.StateCold:
		return status.EndpointCold
	case warmer.StateWarm:
		return status.EndpointWarm
	case warmer.StateOut:
		return status.EndpointOut
	case warmer.StateFailed:
		return status.EndpointFailed
	default:
		return status.EndpointLeaving
	}
}

func (e *Entry) zoneNames() []string {
	var names []string
	for _, z := range e.zones() {
		names = append(names, z.Name)
	}
	return names
}

// zones returns the availability zones of all listed hosts.
func (e *Entry) zones() []zone.Zone {
	d := e.locator.Directory()
	var zones []zone.Zone
	seen := make(map[string]bool)
	for _, h := range append(d.Endpoints(), d.Entries()...) {
		if seen[h.AvailabilityZone] {
			continue
		}
		seen[h.AvailabilityZone] = true
		zones = append(zones, zone.Zone{Name: h.AvailabilityZone, Region: h.Region, Out: e.locator.IsZoneOut(h.AvailabilityZone)})
	}
	return zones
}
