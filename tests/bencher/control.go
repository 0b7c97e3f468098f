package bencher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"poplarhook.example/lib/spending"
	"poplarhook.example/tests/fleet"
)

const (
	metricPrefix = "poplarhook_"
	// boundLocallyMetric counts requests that an entry host bound without the owner.
	boundLocallyMetric = metricPrefix + "bound_alone"
)

// entryState is the part of an entry host's state dump about its traffic to other entry hosts.
type entryState struct {
	PeerTraffic struct {
		BytesOut int64 `json:"bytes_out"`
	} `json:"peer_traffic"`
	Spending spending.Spending `json:"control_spending"`
}

// controlBytes returns how many bytes the entry hosts have sent to each other since their start.
func controlBytes(ctx context.Context, running *fleet.Fleet) (int64, error) {
	states, err := controlStates(ctx, running)
	var sum int64
	for _, dumped := range states {
		sum += dumped.PeerTraffic.BytesOut
	}
	return sum, err
}

func controlStates(ctx context.Context, running *fleet.Fleet) ([]entryState, error) {
	var states []entryState
	for _, entry := range running.Entries() {
		var dumped entryState
		if err := running.State(ctx, entry.ID, &dumped); err != nil {
			return nil, err
		}
		states = append(states, dumped)
	}
	return states, nil
}

// sumCounter returns the sum of a counter over all entry hosts.
func sumCounter(ctx context.Context, running *fleet.Fleet, name string) (int64, error) {
	var sum int64
	for _, entry := range running.Entries() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.AdminAddress+"/metrics", nil)
		if err != nil {
			return 0, errors.Wrap(err, "metrics")
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, errors.Wrap(err, "metrics")
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return 0, errors.Wrap(err, "metrics")
		}
		sum += counterValue(string(text), name)
	}
	return sum, nil
}

// counterValue returns the value of a counter without labels in Prometheus text format, or zero if it is missing.
func counterValue(text, name string) int64 {
	for line := range strings.Lines(text) {
		value, found := strings.CutPrefix(strings.TrimSpace(line), name+" ")
		if !found {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err == nil {
			return int64(number)
		}
	}
	return 0
}
