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

// newAdministrator builds the operators' side.
func (e *Entry) newAdministrator() (http.Handler, error) {
	authorize, err := authorizer.New(e.settings.AdminTokens)
	if err != nil {
		return nil, errors.Wrap(settings.ErrInvalid, err.Error())
	}
	publish := publisher.New(e.store, validator.New(
		validator.WithRegionsFrom(func() []string { return e.places.Directory().Regions() }),
		validator.WithZonesFrom(e.zoneNames)),
		publisher.WithAccepted(e.accepted))
	return administrator.New(publish, authorize,
		administrator.WithReady(e.ready),
		administrator.WithMetrics(e.meter.Handler()),
		administrator.WithState(func(context.Context) any { return e.dump() }),
		administrator.WithStatus(func(context.Context) status.Status { return e.status() }),
		administrator.WithZones(e.zones),
		administrator.WithCounter(e.meter.Count),
		administrator.WithLogger(e.logger),
	), nil
}

// accepted puts a change in force that was accepted through this host, also when the store goes out right after.
func (e *Entry) accepted(x index.Index, p proposal.Proposal) {
	if d, isDocument := p.Document(); isDocument {
		if entry, named := x.Entry(d.Team); named {
			e.assembler.Remember(entry.Key, d)
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

// dump is the state of the process, with no content of any request.
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

func (e *Entry) dump() dump {
	d := dump{
		HostID:      e.settings.HostID,
		Ready:       "yes",
		HostList:    e.places.Directory().Version(),
		Members:     e.roster.Live(e.clock()),
		Connected:   e.links.Connected(),
		Traffic:     e.links.Counts(),
		Spending:    e.governor.Spending(),
		Groups:      e.coordinator.States(),
		Connections: e.sender.Counts(),
		StoreCalls:  e.storeCalls(),
	}
	if err := e.ready(); err != nil {
		d.Ready = err.Error()
	}
	if s, ok := e.places.Snapshot(); ok {
		d.Snapshot = &s
	}
	return d
}

func (e *Entry) storeCalls() status.Calls {
	reads, writes, watches := e.store.Counts()
	return status.Calls{Reads: reads, Writes: writes, Watches: watches}
}

func (e *Entry) status() status.Status {
	s, _ := e.places.Snapshot()
	result := status.Status{HostID: e.settings.HostID, Revision: s.Revision, Calls: e.storeCalls()}
	live := make(map[string]bool)
	for _, m := range e.roster.Live(e.clock()) {
		live[m.ID] = true
		result.Hosts = append(result.Hosts, hostStatus(m))
	}
	for _, h := range e.places.Directory().Entries() {
		if !live[h.ID] {
			result.Hosts = append(result.Hosts, silentStatus(h))
		}
	}
	result.Endpoints = e.endpointStates()
	return result
}

// silentStatus is that of an entry host which is listed and not heard.
func silentStatus(h host.Host) status.Host {
	return status.Host{
		ID:               h.ID,
		Region:           h.Region,
		AvailabilityZone: h.AvailabilityZone,
		AdminAddress:     h.AdminAddress,
		State:            status.HostSilent,
	}
}

func hostStatus(m member.Member) status.Host {
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

// endpointStates tells of the endpoints of groups that this host owns how they are, and of the others what is listed.
func (e *Entry) endpointStates() []status.Endpoint {
	owned := make(map[string]arbiter.Condition)
	for _, g := range e.coordinator.States() {
		for _, c := range g.Conditions {
			owned[c.Endpoint] = c
		}
	}
	var states []status.Endpoint
	for _, h := range e.places.Directory().Endpoints() {
		s := status.Endpoint{ID: h.ID, Service: h.Service, Region: h.Region, AvailabilityZone: h.AvailabilityZone, State: status.EndpointWarm}
		c, known := owned[h.ID]
		switch {
		case e.places.IsZoneOut(h.AvailabilityZone):
			s.State, s.Reason = status.EndpointOut, "zone_out"
		case known:
			s.State, s.Reason = stateOf(c), c.Reason
		case h.IsLeaving():
			s.State, s.Reason = status.EndpointLeaving, "listed_leaving"
		default:
			s.Reason = "seen_by_owner_only"
		}
		states = append(states, s)
	}
	return states
}

func stateOf(c arbiter.Condition) string {
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

// zones returns the availability zones that hosts are listed in.
func (e *Entry) zones() []zone.Zone {
	d := e.places.Directory()
	var zones []zone.Zone
	seen := make(map[string]bool)
	for _, h := range append(d.Endpoints(), d.Entries()...) {
		if seen[h.AvailabilityZone] {
			continue
		}
		seen[h.AvailabilityZone] = true
		zones = append(zones, zone.Zone{Name: h.AvailabilityZone, Region: h.Region, Out: e.places.IsZoneOut(h.AvailabilityZone)})
	}
	return zones
}
