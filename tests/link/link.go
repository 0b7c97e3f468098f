package link

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrRefused is returned when the relay answers a control request with an error status.
var ErrRefused = errors.New("refused by the relay")

// Faults is the state of a link. CutToTarget and CutFromTarget delay the bytes of their direction, and Refuse resets
// new connections, for as long as they are set. Silence and Reset affect only the connections that are open when they
// are set.
type Faults struct {
	CutToTarget   bool `json:"cut_to_target"`
	CutFromTarget bool `json:"cut_from_target"`
	Refuse        bool `json:"refuse"`
	Silence       bool `json:"silence,omitempty"`
	Reset         bool `json:"reset,omitempty"`
}

// Link is a running relay.
type Link struct {
	address        string
	controlAddress string
}

// New returns the link of a relay with the given address and the given address of its control API.
func New(address, control string) *Link {
	return &Link{address: address, controlAddress: control}
}

// Address returns the address of the relay, which forwards connections to the target.
func (l *Link) Address() string {
	return l.address
}

// Set replaces the state of the link.
func (l *Link) Set(ctx context.Context, faults Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "link faults")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.controlAddress+"/standin/control", bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "link faults")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "link faults")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrRefused, "status %d for %s", response.StatusCode, text)
	}
	return nil
}
