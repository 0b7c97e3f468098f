package caller

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/authenticator"
	"poplarhook.example/lib/class"
	"poplarhook.example/lib/workspace"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
)

// keyHolder is a classifier that also knows the workspaces of its configuration, so that the class and the key of a
// request are decided by one configuration.
type keyHolder interface {
	HasWorkspaces() bool
	Authenticate(key string) (workspace.Workspace, error)
}

// WithKeyCheck sets the function that reports whether the configuration is recent enough to accept keys. Meanwhile
// requests that have a key or need one are refused.
func WithKeyCheck(acceptsKeys func() bool) Option {
	return func(c *Caller) { c.acceptsKeys = acceptsKeys }
}

// staleRetryAfter is the retry time for requests that this host must not judge because it does not know whether its
// configuration is current. Other hosts can serve them at once.
const staleRetryAfter = 200 * time.Millisecond

// authenticate returns the job with the workspace of the caller's key, its urgency and its home regions. Without
// workspaces in the configuration the job stays as it is.
func (c *Caller) authenticate(w http.ResponseWriter, current classifier, header http.Header, j job.Job) (job.Job, error) {
	holder, ok := current.(keyHolder)
	if !ok || !holder.HasWorkspaces() {
		return j, nil
	}
	j.NeedsWorkspaceHeaders = true
	keys := c.dialect.Keys(header)
	if err := c.checkConfirmed(w, j, keys); err != nil {
		return j, err
	}
	found, err := findWorkspace(holder, keys)
	switch {
	case errors.Is(err, authenticator.ErrUnknownKey) && j.Class.Public:
		return j, nil
	case errors.Is(err, authenticator.ErrUnknownKey):
		return j, refusal.NotRun(http.StatusUnauthorized, err.Error())
	case err != nil:
		return j, refusal.NotRun(http.StatusServiceUnavailable, err.Error()).WithRetryAfter(defectRetryAfter)
	}
	j.Workspace = found
	if found.Urgency != "" {
		j.Class = j.Class.WithUrgency(found.Urgency)
	}
	regions, err := commonRegions(j.Class, found)
	if err != nil {
		return j, refusal.NotRun(http.StatusServiceUnavailable, err.Error()).WithRetryAfter(defectRetryAfter)
	}
	j.Class = j.Class.WithHomeRegions(regions)
	return j, nil
}

// checkConfirmed refuses a request that has a key or needs one while the configuration may be outdated. The caller's
// connection is closed, since other hosts can serve its requests.
func (c *Caller) checkConfirmed(w http.ResponseWriter, j job.Job, keys []string) error {
	if j.Class.Public && len(keys) == 0 || c.acceptsKeys() {
		return nil
	}
	w.Header().Set("Connection", "close")
	return refusal.NotRun(http.StatusServiceUnavailable, "this host does not know whether its keys are current").WithRetryAfter(staleRetryAfter)
}

// recheckKey checks again, right before a request is dispatched, that its key may be accepted: since the first check its
// body was read, which may have taken long. A request whose key has another holder by now is refused as not run, so that
// the caller sends it again.
func (c *Caller) recheckKey(w http.ResponseWriter, r *http.Request, j job.Job) error {
	if !j.NeedsWorkspaceHeaders {
		return c.checkNoWorkspaces(r)
	}
	keys := c.dialect.Keys(r.Header)
	if err := c.checkConfirmed(w, j, keys); err != nil {
		return err
	}
	holder, ok := c.classifier().(keyHolder)
	if j.Workspace.Name == "" || !ok || !holder.HasWorkspaces() {
		return nil
	}
	if found, err := findWorkspace(holder, keys); err != nil || found.Name != j.Workspace.Name {
		return refusal.NotRun(http.StatusServiceUnavailable, "the keys changed while the request was received").WithRetryAfter(staleRetryAfter)
	}
	return nil
}

// checkNoWorkspaces refuses a request that was accepted by a configuration without workspaces if one with workspaces has
// come into force while its body was read.
func (c *Caller) checkNoWorkspaces(r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if holder, ok := c.classifier().(keyHolder); ok && holder.HasWorkspaces() {
		return refusal.NotRun(http.StatusServiceUnavailable, "the first workspaces came while the request was received").WithRetryAfter(staleRetryAfter)
	}
	return nil
}

var (
	// errNoKey and errSeveralKeys wrap ErrUnknownKey: a request without a key or with several has the key of no
	// workspace.
	errNoKey       = errors.Wrap(authenticator.ErrUnknownKey, "the request has no key")
	errSeveralKeys = errors.Wrap(authenticator.ErrUnknownKey, "the request has more than one key")
	// errNoCommonRegion means that no region may serve both the class and the workspace of a request.
	errNoCommonRegion = errors.New("no region is allowed for both")
)

// findWorkspace returns the holder of the only key.
func findWorkspace(holder keyHolder, keys []string) (workspace.Workspace, error) {
	switch {
	case len(keys) == 0 || len(keys) == 1 && keys[0] == "":
		return workspace.Workspace{}, errNoKey
	case len(keys) > 1:
		return workspace.Workspace{}, errSeveralKeys
	default:
		return holder.Authenticate(keys[0])
	}
}

// commonRegions returns the regions in which requests of both the class and the workspace may be served, in the order
// of the class; empty means every region.
func commonRegions(c class.Class, w workspace.Workspace) ([]string, error) {
	if len(w.HomeRegions) == 0 {
		return c.HomeRegions, nil
	}
	if !c.HasHomeRegions() {
		return w.HomeRegions, nil
	}
	var common []string
	for _, region := range c.HomeRegions {
		if slices.Contains(w.HomeRegions, region) {
			common = append(common, region)
		}
	}
	if len(common) == 0 {
		return nil, errors.Wrapf(errNoCommonRegion, "class %s permits %s, workspace %s permits %s",
			c.Name, strings.Join(c.HomeRegions, ", "), w.Name, strings.Join(w.HomeRegions, ", "))
	}
	return common, nil
}
