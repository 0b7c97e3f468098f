package caller

import (
	"context"
	"errors"
	"time"

	"poplarhook.example/lib/workspace"
	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
)

// quota limits the number of requests of a workspace.
type quota interface {
	// Acquire takes one token of the workspace; its error is the refusal of a request that was not run.
	Acquire(ctx context.Context, w workspace.Workspace, until time.Time) error
	// Release returns the token of a request that did not run.
	Release(w workspace.Workspace)
}

// WithQuota sets the quota of workspaces; without it their requests are not limited.
func WithQuota(q quota) Option {
	return func(c *Caller) { c.dispatcher = limitedDispatcher{dispatcher: c.dispatcher, quota: q} }
}

// limitedDispatcher dispatches requests within the quotas of their workspaces.
type limitedDispatcher struct {
	dispatcher dispatcher
	quota      quota
}

// Dispatch takes a token of the request's workspace, if that has a quota, and dispatches the request. The token of a
// request that no endpoint ran is returned.
func (d limitedDispatcher) Dispatch(ctx context.Context, j job.Job) (*answer.Answer, error) {
	if !j.Workspace.HasQuota() {
		return d.dispatcher.Dispatch(ctx, j)
	}
	until := j.Deadline
	if target := j.Class.LatencyTarget(); target > 0 && j.ArrivedAt.Add(target).Before(until) {
		until = j.ArrivedAt.Add(target)
	}
	if err := d.quota.Acquire(ctx, j.Workspace, until); err != nil {
		return nil, err
	}
	a, err := d.dispatcher.Dispatch(ctx, j)
	if errors.Is(err, refusal.ErrNotRun) {
		d.quota.Release(j.Workspace)
	}
	return a, err
}
