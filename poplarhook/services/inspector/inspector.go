package inspector

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/status"
)

// Path is the path at which a host reports to other hosts which configuration it runs.
const Path = "/v1/running"

const (
	// requestTimeout limits one request to a host: a round trip to the farthest region takes about 25 ms.
	requestTimeout = 500 * time.Millisecond
	// maxConcurrentRequests is the number of hosts that are queried at the same time; a thousand hosts that are all
	// silent take half a minute.
	maxConcurrentRequests = 16
)

// errInvalidResponse means that the response of a host does not report the configuration that this host runs.
var errInvalidResponse = errors.New("host did not report which configuration it runs")

// Inspector requests the status of other entry hosts.
type Inspector struct {
	http   *http.Client
	logger *zap.Logger
}

// Option changes how an Inspector is built.
type Option func(*Inspector)

// WithLogger sets the logger for hosts that do not report their status.
func WithLogger(logger *zap.Logger) Option {
	return func(i *Inspector) { i.logger = logger }
}

// New returns an Inspector with the given options.
func New(options ...Option) *Inspector {
	i := &Inspector{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseBytes}}, logger: zap.NewNop()}
	for _, option := range options {
		option(i)
	}
	return i
}

// FetchStatuses returns the status of each of the members, sorted by id; one that does not report its status is
// returned as silent.
func (i *Inspector) FetchStatuses(ctx context.Context, members []host.Host) []status.Host {
	statuses := make([]status.Host, len(members))
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range min(maxConcurrentRequests, len(members)) {
		workers.Go(func() {
			for index := range indexes {
				statuses[index] = i.fetchStatus(ctx, members[index])
			}
		})
	}
	for index := range members {
		indexes <- index
	}
	close(indexes)
	workers.Wait()
	slices.SortFunc(statuses, func(a, b status.Host) int { return cmp.Compare(a.ID, b.ID) })
	return statuses
}

// fetchStatus returns the status of one member, which is silent if the request fails or another host responds.
func (i *Inspector) fetchStatus(ctx context.Context, member host.Host) status.Host {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reported, err := i.fetchRunning(ctx, member.PeerAddress)
	if err == nil && reported.ID != member.ID {
		err = errors.Wrapf(errInvalidResponse, "%s responds as host %q", member.PeerAddress, reported.ID)
	}
	if err == nil {
		return reported
	}
	i.logger.Warn("entry host did not report which configuration it runs", zap.String("host", member.ID), zap.String("error", err.Error()))
	return status.Host{
		ID:               member.ID,
		Region:           member.Region,
		AvailabilityZone: member.AvailabilityZone,
		AdminAddress:     member.AdminAddress,
		State:            status.HostSilent,
	}
}

func (i *Inspector) fetchRunning(ctx context.Context, address string) (status.Host, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return status.Host{}, errors.Wrapf(err, "request status of %s", address)
	}
	response, err := i.http.Do(request)
	if err != nil {
		return status.Host{}, errors.Wrapf(err, "request status of %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status.Host{}, errors.Wrapf(errInvalidResponse, "%s responds with status %d", address, response.StatusCode)
	}
	var reported status.Host
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxResponseBytes)).Decode(&reported)
	return reported, errors.Wrapf(err, "decode status of %s", address)
}

// maxResponseBytes is the largest part of a response that is read.
const maxResponseBytes = 16 << 10
