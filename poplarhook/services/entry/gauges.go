package entry

import (
	"context"
	"time"
)

const gaugeInterval = time.Second

// runGauges updates the gauges periodically until the context ends; the channel then carries nil.
func (e *Entry) runGauges(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(gaugeInterval)
		defer ticker.Stop()
		for {
			e.setGauges()
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-ticker.C:
			}
		}
	}()
	return done
}

func (e *Entry) setGauges() {
	now := e.clock()
	e.setConfigurationGauges()
	e.setControlGauges()
	e.setEndpointGauges()
	e.meter.Gauge("entry_hosts_live", float64(len(e.roster.Live(now))))
	e.meter.Gauge("view_fresh", boolToFloat(e.roster.IsFresh(now)))
	e.meter.Gauge("ready", boolToFloat(e.checkReady() == nil))
}

func (e *Entry) setConfigurationGauges() {
	s, _ := e.locator.Snapshot()
	e.meter.Gauge("configuration_revision", float64(s.Revision))
	e.meter.Gauge("host_list_version", float64(e.locator.Directory().Version()))
	calls := e.storeCalls()
	e.meter.Gauge("store_reads_total", float64(calls.Reads))
	e.meter.Gauge("store_writes_total", float64(calls.Writes))
	e.meter.Gauge("store_watches_total", float64(calls.Watches))
}

func (e *Entry) setControlGauges() {
	counts := e.links.Counts()
	e.meter.Gauge("peer_bytes_out_total", float64(counts.BytesOut))
	e.meter.Gauge("peer_bytes_in_total", float64(counts.BytesIn))
	e.meter.Gauge("peer_frames_refused_total", float64(counts.Refused))
	spent := e.controlLimiter.Spending()
	e.meter.Gauge("control_budget_bytes_per_second", float64(spent.Budget))
	e.meter.Gauge("control_rate_bytes_per_second", float64(spent.Rate))
	e.meter.Gauge("control_refused_messages_total", float64(spent.RefusedMessages))
	e.meter.Gauge("control_charged_bytes_total", float64(spent.ChargedBytes))
	e.meter.Gauge("control_overspent_bytes_total", float64(spent.OverspentBytes))
	e.meter.Gauge("control_hold_seconds", spent.HoldTime.Seconds())
}

func (e *Entry) setEndpointGauges() {
	connections := e.sender.Counts()
	e.meter.Gauge("endpoint_connections_open", float64(connections.OpenNow))
	e.meter.Gauge("endpoint_connections_dialed_total", float64(connections.Dialed))
	var waiting, owned, cold, closed int
	for _, g := range e.coordinator.States() {
		waiting += g.Waiting
		if g.Owner == e.settings.HostID {
			owned++
		}
		for _, c := range g.Conditions {
			if !c.Open {
				closed++
			} else if c.Cold {
				cold++
			}
		}
	}
	e.meter.Gauge("requests_waiting", float64(waiting))
	e.meter.Gauge("groups_owned", float64(owned))
	e.meter.Gauge("owned_endpoints_cold", float64(cold))
	e.meter.Gauge("owned_endpoints_closed", float64(closed))
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
