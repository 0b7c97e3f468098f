package deployment

import (
	"fmt"
	"math"

	"poplarhook.example/lib/document"
	"poplarhook.example/lib/host"
)

// Zone is an availability zone and its region.
type Zone struct {
	Name   string
	Region string
}

// Service is a service and the number of its servers in all availability zones together.
type Service struct {
	Name    string
	Servers int
}

// Deployment describes the endpoints and the configuration that one user runs.
type Deployment struct {
	Zones    []Zone
	Services []Service
	// Slots is how many requests a server processes at once.
	Slots int
	// Connections is how many connections a server accepts at once.
	Connections int
	// Document is the configuration with the user's classes.
	Document document.Document
}

// Endpoints returns the servers without addresses; those of each service are distributed round-robin over the
// availability zones.
func (d Deployment) Endpoints() []host.Host {
	var endpoints []host.Host
	for _, service := range d.Services {
		for i := range service.Servers {
			zone := d.Zones[i%len(d.Zones)]
			endpoints = append(endpoints, host.Host{
				ID:               fmt.Sprintf("%s-%d", service.Name, i),
				Role:             host.RoleEndpoint,
				Service:          service.Name,
				Region:           zone.Region,
				AvailabilityZone: zone.Name,
				Slots:            d.Slots,
				Connections:      d.Connections,
				State:            host.StateLive,
			})
		}
	}
	return endpoints
}

// Entries returns the given number of entry hosts without addresses, distributed round-robin over the availability
// zones.
func (d Deployment) Entries(count int) []host.Host {
	entries := make([]host.Host, 0, count)
	for i := range count {
		entries = append(entries, d.Entry(i))
	}
	return entries
}

// Entry returns the entry host with the given number, without addresses.
func (d Deployment) Entry(number int) host.Host {
	zone := d.Zones[number%len(d.Zones)]
	return host.Host{
		ID:               fmt.Sprintf("entry-%d", number),
		Role:             host.RoleEntry,
		Region:           zone.Region,
		AvailabilityZone: zone.Name,
		State:            host.StateLive,
	}
}

// WithScale returns a copy whose services have the given share of their servers, but at least one server each.
func (d Deployment) WithScale(share float64) Deployment {
	services := make([]Service, len(d.Services))
	for i, service := range d.Services {
		service.Servers = max(int(math.Round(float64(service.Servers)*share)), 1)
		services[i] = service
	}
	d.Services = services
	return d
}

// WithServices returns a copy that runs only the given services.
func (d Deployment) WithServices(services ...Service) Deployment {
	d.Services = services
	return d
}

// WithZones returns a copy that uses the given availability zones.
func (d Deployment) WithZones(zones ...Zone) Deployment {
	d.Zones = zones
	return d
}

// WithDocument returns a copy with another configuration.
func (d Deployment) WithDocument(doc document.Document) Deployment {
	d.Document = doc
	return d
}
