package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/problem"
	"poplarhook.example/lib/status"
	"poplarhook.example/poplarhook/models/belief"
)

// answerJSON answers with a value.
func (g *Gateway) answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		g.logger.Warn("answer to an operator broke off", zap.String("error", err.Error()))
	}
}

// serveRunning tells another host which configuration this one runs.
func (g *Gateway) serveRunning(w http.ResponseWriter, _ *http.Request) {
	g.answerJSON(w, g.running())
}

func (g *Gateway) running() status.Host {
	d := g.deployment.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	one := status.Host{
		ID:               d.HostID,
		Region:           d.Region,
		AvailabilityZone: d.AvailabilityZone,
		AdminAddress:     d.AdminAddress(),
		Revision:         g.configuration.Revision,
		State:            status.HostLive,
	}
	if g.draining.Load() {
		one.State = status.HostLeaving
	}
	return one
}

// serveStatus tells operators what every host runs, which this host asks them now, and the state of the endpoints.
func (g *Gateway) serveStatus(w http.ResponseWriter, r *http.Request) {
	own := g.running()
	answer := status.Status{HostID: own.ID, Revision: own.Revision}
	answer.Hosts = append(g.inspector.Ask(r.Context(), g.others()), own)
	now := g.clock()
	for _, e := range g.Dump().Endpoints {
		answer.Endpoints = append(answer.Endpoints, g.endpointStatus(now, e))
	}
	g.answerJSON(w, answer)
}

// others returns the entry hosts that are known beside this one.
func (g *Gateway) others() []host.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.deployment.Load().HostID
	return slices.DeleteFunc(slices.Clone(g.members), func(m host.Host) bool { return m.ID == self })
}

// endpointStatus says in which state an endpoint is for this host, and why.
func (g *Gateway) endpointStatus(now time.Time, e belief.Endpoint) status.Endpoint {
	one := status.Endpoint{ID: e.ID, Service: e.Service, Region: e.Region, AvailabilityZone: e.AvailabilityZone, State: status.EndpointWarm}
	switch {
	case e.State == host.StateLeaving:
		one.State, one.Reason = status.EndpointLeaving, "it told the platform that it leaves"
	case g.places.IsZoneOut(e.AvailabilityZone):
		one.State, one.Reason = status.EndpointOut, "operators have taken its availability zone out"
	case e.Replaced:
		one.State, one.Reason = status.EndpointFailed, "another endpoint answers at its address"
	case e.Failing >= failingFrom:
		one.State, one.Reason = status.EndpointFailed, "about "+strconv.Itoa(int(e.Failing*100))+" % of its requests fail"
	case now.Before(e.ColdUntil):
		one.State, one.Reason = status.EndpointCold, "cold for "+e.ColdUntil.Sub(now).Round(time.Millisecond).String()
	}
	return one
}

// failingFrom is the share of failing requests from which an endpoint is shown as failed.
const failingFrom = 0.5

// serveConfiguration tells operators the configuration in force, or that of a revision that is still kept.
func (g *Gateway) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	asked := r.URL.Query().Get("revision")
	if asked == "" {
		s, _ := g.places.Snapshot()
		g.answerJSON(w, s)
		return
	}
	revision, err := strconv.ParseInt(asked, 10, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.CodeInvalid, "revision "+strconv.Quote(asked)+": must be a whole number").Write(w)
		return
	}
	s, kept := g.archive.Get(revision)
	if !kept {
		problem.New(http.StatusNotFound, problem.CodeNotFound, "revision "+asked+" is not kept: see /v1/changes").Write(w)
		return
	}
	g.answerJSON(w, s)
}

// serveChanges tells operators which configurations are kept and since when each was in force on this host.
func (g *Gateway) serveChanges(w http.ResponseWriter, _ *http.Request) {
	g.answerJSON(w, g.archive.Changes())
}
