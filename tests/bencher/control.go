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
	// aloneMetric counts requests that an entry host bound without the owner.
	aloneMetric = metricPrefix + "bound_alone"
)

// state is the part of an entry host's state dump that tells what its peers cost.
type state struct {
	PeerTraffic struct {
		BytesOut int64 `json:"bytes_out"`
	} `json:"peer_traffic"`
	Spending spending.Spending `json:"control_spending"`
}

// controlBytes returns how many bytes the entry hosts have sent to one another since their start.
func controlBytes(ctx context.Context, running *fleet.Fleet) (int64, error) {
	states, err := controlStates(ctx, running)
	var sum int64
	for _, dumped := range states {
		sum += dumped.PeerTraffic.BytesOut
	}
	return sum, err
}

func controlStates(ctx context.Context, running *fleet.Fleet) ([]state, error) {
	var states []state
	for _, entry := range running.Entries() {
		var dumped state
		if err := running.State(ctx, entry.ID, &dumped); err != nil {
			return nil, err
		}
		states = append(states, dumped)
	}
	return states, nil
}

// counted returns the sum of a counter over all entry hosts.
func counted(ctx context.Context, running *fleet.Fleet, name string) (int64, error) {
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
		sum += valueOf(string(text), name)
	}
	return sum, nil
}

// valueOf returns the value of a counter without labels in Prometheus text, zero if it is not there.
func valueOf(text, name string) int64 {
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
