package link

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
)

// ErrRefused is returned when the relay refuses a control request.
var ErrRefused = errors.New("refused by the relay")

// Faults is the state of a link; a cut holds bytes back, Silence and Reset hit the open connections once.
type Faults struct {
	CutToTarget   bool `json:"cut_to_target"`
	CutFromTarget bool `json:"cut_from_target"`
	Refuse        bool `json:"refuse"`
	Silence       bool `json:"silence,omitempty"`
	Reset         bool `json:"reset,omitempty"`
}

// Link is a running relay.
type Link struct {
	address string
	control string
}

// New returns the link of a relay with its address and that of its control.
func New(address, control string) *Link {
	return &Link{address: address, control: control}
}

// Address returns the address that leads to the target.
func (l *Link) Address() string {
	return l.address
}

// Set puts the link into a state.
func (l *Link) Set(ctx context.Context, faults Faults) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return errors.Wrap(err, "link faults")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.control+"/standin/control", bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "link faults")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "link faults")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrRefused, "status %d to %s", response.StatusCode, text)
	}
	return nil
}
