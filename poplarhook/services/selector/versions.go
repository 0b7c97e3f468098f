package selector

import (
	"context"
	"net/http"
	"time"

	"poplarhook.example/poplarhook/models/binding"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
	"poplarhook.example/poplarhook/models/requirement"
	"poplarhook.example/poplarhook/models/splitter"
)

// versions chooses the versions of a service that may serve a request. Its methods do not block.
type versions interface {
	Choose(service string, isFirst bool) splitter.Choice
	// Withdraw returns the choice without the target version, for which there is no endpoint.
	Withdraw(c splitter.Choice) splitter.Choice
	// Begin reports whether the version may still serve the attempt, and then counts it as in flight until Finish.
	Begin(c splitter.Choice, version string) bool
	Finish(b binding.Binding, r report.Report, isCold bool, roundTrip time.Duration)
}

// WithVersions sets the split of requests among the versions of each service.
func WithVersions(v versions) Option {
	return func(s *Selector) { s.versions = v }
}

// maxVersionRounds is how often a request is bound again after the versions that may serve it have changed meanwhile.
const maxVersionRounds = 4

// bindVersion binds the request to an endpoint of a version that may serve it now.
//
// An attempt that has an earlier one behind it goes to the old version, so that
// a bad version on trial costs a request one attempt at the most. An attempt
// that finds no endpoint of the version on trial goes to the old one too.
func (s *Selector) bindVersion(ctx context.Context, req requirement.Requirement) (binding.Binding, error) {
	isFirst := req.Excluded == ""
	for range maxVersionRounds {
		choice := s.versions.Choose(req.Groups[0].Service, isFirst)
		isFirst = false
		b, err := s.bind(ctx, req.WithAdmits(choice.Admits))
		if err != nil && choice.IsTarget {
			choice = s.versions.Withdraw(choice)
			b, err = s.bind(ctx, req.WithAdmits(choice.Admits))
		}
		if err != nil {
			return binding.Binding{}, err
		}
		if s.versions.Begin(choice, b.Endpoint.Version) {
			return b, nil
		}
		s.counter("rollout_version_changed")
		s.versions.Withdraw(choice)
		s.release(b)
	}
	return binding.Binding{}, refusal.NotRun(http.StatusServiceUnavailable, "the versions of the service change").WithRetryAfter(noEndpointRetryAfter)
}

// release ends a binding that was not used.
func (s *Selector) release(b binding.Binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.stateOf(&b.Endpoint)
	e.inFlight = max(e.inFlight-1, 0)
}
