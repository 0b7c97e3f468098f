package subscriber

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/models/frame"
)

// Errors by which callers tell why a stream ended or did not begin.
var (
	// ErrNotServing says that the host is there but does not hear the store.
	ErrNotServing = errors.New("host serves no stream")
	// ErrLost says that the host stopped hearing the store.
	ErrLost = errors.New("host lost the store")
	// ErrSilent says that the stream broke off or fell silent.
	ErrSilent = errors.New("stream fell silent")
)

// dialTimeout bounds a new connection to a host of the own region.
const dialTimeout = 250 * time.Millisecond

// Path is where hosts serve streams, KnownPath where they tell once what they know.
const (
	Path      = "/v1/views"
	KnownPath = "/v1/known"
)

// Subscriber reads streams, one at a time.
type Subscriber struct {
	http    *http.Client
	silence time.Duration
}

// New returns a Subscriber that gives a stream up after the silence.
func New(silence time.Duration) *Subscriber {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Subscriber{silence: silence, http: &http.Client{Transport: &http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: true,
	}}}
}

// Read hands each frame of the host at the address to take until the stream ends, the first of which must come within
// the given time; the error says why it ended.
func (s *Subscriber) Read(ctx context.Context, address string, first time.Duration, take func(f frame.Frame) error) error {
	return s.read(ctx, "http://"+address+Path, first, take)
}

// Ask hands what the host at the address knows to take.
func (s *Subscriber) Ask(ctx context.Context, address string, take func(f frame.Frame) error) error {
	err := s.read(ctx, "http://"+address+KnownPath, s.silence, take)
	if errors.Is(err, errEnded) {
		return nil
	}
	return err
}

// errEnded says that the other host ended its answer; a stream has no end.
var errEnded = errors.Wrap(ErrSilent, "the answer has ended")

func (s *Subscriber) read(ctx context.Context, url string, first time.Duration, take func(f frame.Frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(first, cancel)
	defer watchdog.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "read %s", url)
	}
	response, err := s.http.Do(request)
	if err != nil {
		return errors.Wrapf(ErrSilent, "read %s: %v", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrNotServing, "%s answers %d", url, response.StatusCode)
	}
	lines := json.NewDecoder(bufio.NewReader(response.Body))
	for {
		var f frame.Frame
		if err := lines.Decode(&f); errors.Is(err, io.EOF) {
			return errors.Wrapf(errEnded, "%s", url)
		} else if err != nil {
			return errors.Wrapf(ErrSilent, "%s: %v", url, err)
		}
		watchdog.Reset(s.silence)
		if err := handle(f, take); err != nil {
			return errors.Wrapf(err, "%s", url)
		}
	}
}

// handle takes a frame in, or says that the sender no longer hears the store.
func handle(f frame.Frame, take func(f frame.Frame) error) error {
	if f.Lost {
		return ErrLost
	}
	return take(f)
}
