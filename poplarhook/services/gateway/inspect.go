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
	"poplarhook.example/poplarhook/models/viewstatus"
)

// answerJSON writes the value as JSON.
func (g *Gateway) answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		g.logger.Warn("writing the answer to an operator failed", zap.String("error", err.Error()))
	}
}

// serveHostStatus reports to another host which configuration this host runs.
func (g *Gateway) serveHostStatus(w http.ResponseWriter, _ *http.Request) {
	g.answerJSON(w, g.hostStatus())
}

// hostStatus returns the status of this host.
func (g *Gateway) hostStatus() status.Host {
	d := g.deployment.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	h := status.Host{
		ID:               d.HostID,
		Region:           d.Region,
		AvailabilityZone: d.AvailabilityZone,
		AdminAddress:     d.AdminAddress(),
		Revision:         g.configuration.Revision,
		State:            status.HostLive,
		Defects:          g.currentDefects(),
	}
	if g.draining.Load() {
		h.State = status.HostLeaving
	}
	return h
}

// serveStatus reports to operators the current status of every host, which it requests from each host, and the state of
// the endpoints.
func (g *Gateway) serveStatus(w http.ResponseWriter, r *http.Request) {
	own := g.hostStatus()
	answer := status.Status{HostID: own.ID, Revision: own.Revision}
	answer.Hosts = append(g.inspector.FetchStatuses(r.Context(), g.otherHosts()), own)
	now := g.clock()
	for _, e := range g.Dump().Endpoints {
		answer.Endpoints = append(answer.Endpoints, g.endpointStatus(now, e))
	}
	g.answerJSON(w, answer)
}

// otherHosts returns the known entry hosts except this one.
func (g *Gateway) otherHosts() []host.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.deployment.Load().HostID
	return slices.DeleteFunc(slices.Clone(g.members), func(m host.Host) bool { return m.ID == self })
}

// endpointStatus returns the state of the endpoint as this host knows it, with the reason.
func (g *Gateway) endpointStatus(now time.Time, e viewstatus.Endpoint) status.Endpoint {
	endpoint := status.Endpoint{ID: e.ID, Service: e.Service, Region: e.Region, AvailabilityZone: e.AvailabilityZone, State: status.EndpointWarm}
	switch {
	case e.State == host.StateLeaving:
		endpoint.State, endpoint.Reason = status.EndpointLeaving, "it told the platform that it leaves"
	case e.Leaving:
		endpoint.State, endpoint.Reason = status.EndpointLeaving, "it said in an answer that it leaves"
	case g.locator.IsZoneOut(e.AvailabilityZone):
		endpoint.State, endpoint.Reason = status.EndpointOut, "operators have taken its availability zone out"
	case e.Replaced:
		endpoint.State, endpoint.Reason = status.EndpointFailed, "another endpoint answers at its address"
	case e.FailureRate >= failedThreshold:
		endpoint.State, endpoint.Reason = status.EndpointFailed, "about "+strconv.Itoa(int(e.FailureRate*100))+" % of its requests fail"
	case now.Before(e.ColdUntil):
		endpoint.State, endpoint.Reason = status.EndpointCold, "cold for "+e.ColdUntil.Sub(now).Round(time.Millisecond).String()
	}
	return endpoint
}

// failedThreshold is the share of failing requests from which an endpoint is shown as failed.
const failedThreshold = 0.5

// serveConfiguration returns to operators the current configuration, or that of the requested revision if it is kept.
func (g *Gateway) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	requested := r.URL.Query().Get("revision")
	if requested == "" {
		s, _ := g.locator.Snapshot()
		g.answerJSON(w, s.WithoutKeys())
		return
	}
	revision, err := strconv.ParseInt(requested, 10, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.CodeInvalid, "revision "+strconv.Quote(requested)+": must be a whole number").Write(w)
		return
	}
	s, kept := g.archive.Get(revision)
	if !kept {
		problem.New(http.StatusNotFound, problem.CodeNotFound, "revision "+requested+" is not kept: see /v1/changes").Write(w)
		return
	}
	g.answerJSON(w, s)
}

// serveChanges returns to operators which configurations are kept and when this host applied each of them.
func (g *Gateway) serveChanges(w http.ResponseWriter, _ *http.Request) {
	g.answerJSON(w, g.archive.Changes())
}
