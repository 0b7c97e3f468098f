package subscriber

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/models/frame"
)

// Errors by which callers tell why a stream ended or did not begin.
var (
	// ErrNotServing says that the host is there but does not hear the store itself.
	ErrNotServing = errors.New("host serves no stream")
	// ErrLost says that the host stopped hearing the store.
	ErrLost = errors.New("host lost the store")
	// ErrSilent says that the stream broke off or fell silent.
	ErrSilent = errors.New("stream fell silent")
)

const (
	// silence is after what time without a line a stream counts as dead: three signs of life missed.
	silence = 1100 * time.Millisecond
	// dialTimeout bounds a new connection to a host of the own region.
	dialTimeout = 250 * time.Millisecond
)

// Path is where hosts serve streams.
const Path = "/v1/views"

// Subscriber reads streams, one at a time.
type Subscriber struct {
	http *http.Client
}

// New returns a Subscriber.
func New() *Subscriber {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Subscriber{http: &http.Client{Transport: &http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: true,
	}}}
}

// Read hands each frame of the host at the address to take until the stream ends; the error says why it did.
func (s *Subscriber) Read(ctx context.Context, address string, take func(f frame.Frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "subscribe to %s", address)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return errors.Wrapf(ErrSilent, "subscribe to %s: %v", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrNotServing, "%s answers %d", address, response.StatusCode)
	}
	lines := json.NewDecoder(bufio.NewReader(response.Body))
	for {
		var f frame.Frame
		if err := lines.Decode(&f); err != nil {
			return errors.Wrapf(ErrSilent, "%s: %v", address, err)
		}
		watchdog.Reset(silence)
		if f.Lost {
			return errors.Wrapf(ErrLost, "%s", address)
		}
		if f.Feed == "" {
			continue
		}
		if err := take(f); err != nil {
			return err
		}
	}
}
