package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/collector"
	"poplarhook.example/poplarbench/endpointrecords"
	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/tests/usage"
)

const (
	readyPoll    = 20 * time.Millisecond
	callTimeout  = 5 * time.Second
	maxCallBytes = 64 << 20
)

// PutHost adds a host to the platform's host list and to the host list of each region, or replaces it there.
func (f *Fleet) PutHost(ctx context.Context, h host.Host) error {
	if err := f.PutHostIntoList(ctx, f.PlatformURL(), h); err != nil {
		return err
	}
	return f.putIntoRegionLists(ctx, h)
}

// RemoveHost removes a host from the platform's host list and from the host list of each region.
func (f *Fleet) RemoveHost(ctx context.Context, id string) error {
	for _, url := range f.hostListURLs() {
		if _, err := sendRequest(ctx, http.MethodDelete, url+"/standin/hosts/"+id, nil); err != nil {
			return err
		}
	}
	return nil
}

// ControlPlatform sets the faults of the platform stand-in to a value, which is sent as JSON.
func (f *Fleet) ControlPlatform(ctx context.Context, faults any) error {
	return postJSON(ctx, f.PlatformURL()+"/standin/control", faults)
}

// ControlEndpoint sets the faults of one endpoint to a value, which is sent as JSON.
func (f *Fleet) ControlEndpoint(ctx context.Context, id string, faults any) error {
	control, known := f.controlAddressByEndpoint[id]
	if !known {
		return errors.Wrapf(ErrUnknown, "endpoint %q", id)
	}
	return postJSON(ctx, "http://"+control+"/standin/control?id="+id, faults)
}

// ControlEndpoints sets the faults of every endpoint to a value, which is sent as JSON.
func (f *Fleet) ControlEndpoints(ctx context.Context, faults any) error {
	for _, control := range f.controlAddresses {
		if err := postJSON(ctx, "http://"+control+"/standin/control", faults); err != nil {
			return err
		}
	}
	return nil
}

// restartFault starts a new incarnation of an endpoint, which is cold.
type restartFault struct {
	Restart bool `json:"restart"`
}

// RestartZone restarts every endpoint of an availability zone; the endpoints are cold afterwards.
func (f *Fleet) RestartZone(ctx context.Context, zone string) error {
	for _, endpoint := range f.Endpoints() {
		if endpoint.AvailabilityZone != zone {
			continue
		}
		if err := f.ControlEndpoint(ctx, endpoint.ID, restartFault{Restart: true}); err != nil {
			return err
		}
	}
	return nil
}

// EndpointRecords returns the records of all endpoints since their start.
func (f *Fleet) EndpointRecords(ctx context.Context) (endpointrecords.Records, error) {
	return collector.New(http.DefaultClient).Records(ctx, f.controlAddresses...)
}

// Executions returns the execution records of every endpoint.
func (f *Fleet) Executions(ctx context.Context) ([]execution.Execution, error) {
	all, err := f.EndpointRecords(ctx)
	return all.Executions, err
}

// Get returns the body of the answer with status 200 to a GET request to a process of the fleet, or ErrRefused for an
// error status.
func (f *Fleet) Get(ctx context.Context, url string) ([]byte, error) {
	return sendRequest(ctx, http.MethodGet, url, nil)
}

// State decodes the state dump of an entry host, which it requests with the token of the operators.
func (f *Fleet) State(ctx context.Context, id string, into any) error {
	for _, entry := range f.Entries() {
		if entry.ID != id {
			continue
		}
		text, err := f.Ctl(ctx, Operators, "dump", "--host", id)
		if err != nil {
			return err
		}
		return errors.Wrapf(json.Unmarshal([]byte(text), into), "state of %s", id)
	}
	return errors.Wrapf(ErrUnknown, "entry host %q", id)
}

// Usage returns the sum of the resource usage of the entry hosts' processes.
func (f *Fleet) Usage() (usage.Usage, error) {
	var sum usage.Usage
	for _, entry := range f.Entries() {
		p, err := f.Process(entry.ID)
		if err != nil {
			return usage.Usage{}, err
		}
		used, err := usage.Read(p.ID())
		if err != nil {
			return usage.Usage{}, err
		}
		sum = sum.Plus(used)
	}
	return sum, nil
}

// WaitReady waits until the readiness check of every entry host succeeds.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, entry := range f.Entries() {
		if err := waitReady(ctx, entry); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, entry host.Host) error {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		_, err := sendRequest(ctx, http.MethodGet, "http://"+entry.AdminAddress+"/readyz", nil)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "entry host %s is not ready", entry.ID)
		case <-ticker.C:
		}
	}
}

func postJSON(ctx context.Context, url string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrapf(err, "posting to %s", url)
	}
	_, err = sendRequest(ctx, http.MethodPost, url, text)
	return err
}

func sendRequest(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "calling %s", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "calling %s", url)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxCallBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", url)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Wrapf(ErrRefused, "%s %s: status %d: %s", method, url, response.StatusCode, strings.TrimSpace(string(text)))
	}
	return text, nil
}
