package bencher

import (
	"context"

	"poplarhook.example/tests/fleet"
)

// state is the part of an entry host's state dump that tells what its peers cost.
type state struct {
	PeerTraffic struct {
		BytesOut int64 `json:"bytes_out"`
	} `json:"peer_traffic"`
}

// controlBytes returns how many bytes the entry hosts have sent to one another since their start.
func controlBytes(ctx context.Context, running *fleet.Fleet) (int64, error) {
	var sum int64
	for _, entry := range running.Entries() {
		var dumped state
		if err := running.State(ctx, entry.ID, &dumped); err != nil {
			return 0, err
		}
		sum += dumped.PeerTraffic.BytesOut
	}
	return sum, nil
}
