package collector

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/ledger"
)

// ErrAnswer is returned when a stand-in answers with another status than 200.
var ErrAnswer = errors.New("unexpected answer")

// Collector fetches the records of stand-ins.
type Collector struct {
	client *http.Client
}

// New returns a collector that sends by the client.
func New(client *http.Client) *Collector {
	return &Collector{client: client}
}

// Ledger returns what the endpoint stand-ins at the control addresses have recorded together.
func (c *Collector) Ledger(ctx context.Context, addresses ...string) (ledger.Ledger, error) {
	var all ledger.Ledger
	for _, address := range addresses {
		var one ledger.Ledger
		if err := c.get(ctx, "http://"+address+"/standin/executions", &one); err != nil {
			return ledger.Ledger{}, err
		}
		all = all.Plus(one)
	}
	return all, nil
}

// Hosts returns the platform's host list at the URL.
func (c *Collector) Hosts(ctx context.Context, url string) ([]host.Host, error) {
	var answer struct {
		Hosts []host.Host `json:"hosts"`
	}
	if err := c.get(ctx, url, &answer); err != nil {
		return nil, err
	}
	return answer.Hosts, nil
}

func (c *Collector) get(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "asking %s", url)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "asking %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrAnswer, "%s: status %d", url, response.StatusCode)
	}
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "reading %s", url)
}
