package collector

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/endpointrecords"
)

// ErrUnexpectedStatus is returned for a response whose status is not 200.
var ErrUnexpectedStatus = errors.New("unexpected status")

// Collector fetches the records of endpoint stand-ins and the platform's host list over HTTP.
type Collector struct {
	client *http.Client
}

// New returns a collector that uses the HTTP client.
func New(client *http.Client) *Collector {
	return &Collector{client: client}
}

// Records returns the merged records of the endpoint stand-ins at the control addresses.
func (c *Collector) Records(ctx context.Context, addresses ...string) (endpointrecords.Records, error) {
	var all endpointrecords.Records
	for _, address := range addresses {
		var one endpointrecords.Records
		if err := c.getJSON(ctx, "http://"+address+"/standin/executions", &one); err != nil {
			return endpointrecords.Records{}, err
		}
		all = all.Merge(one)
	}
	return all, nil
}

// Hosts returns the hosts of the platform's host list at the URL.
func (c *Collector) Hosts(ctx context.Context, url string) ([]host.Host, error) {
	var answer struct {
		Hosts []host.Host `json:"hosts"`
	}
	if err := c.getJSON(ctx, url, &answer); err != nil {
		return nil, err
	}
	return answer.Hosts, nil
}

func (c *Collector) getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "requesting %s", url)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "requesting %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrUnexpectedStatus, "%s: status %d", url, response.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "reading %s", url)
}
