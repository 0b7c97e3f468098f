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
	"poplarhook.example/poplarhook/services/broadcaster"
)

// Reasons why a stream ended or could not be opened.
var (
	// ErrNotServing means that the host answers but accepts no readers, since it receives no updates from the store.
	ErrNotServing = errors.New("host accepts no readers")
	// ErrStoreLost means that the host reported that it no longer receives updates from the store.
	ErrStoreLost = errors.New("host no longer receives updates from the store")
	// ErrSilent means that the stream broke off, or that no line arrived within the timeout.
	ErrSilent = errors.New("stream broke off or timed out")
)

const (
	// dialTimeout limits the time to connect to a host of the own region.
	dialTimeout = 250 * time.Millisecond
	// maxHeadBytes limits the head of a response, and maxFrameBytes one frame of a stream.
	maxHeadBytes  = 64 << 10
	maxFrameBytes = 16 << 20
)

const (
	// StreamPath is the path of the stream of views.
	StreamPath = "/v1/views"
	// FullViewPath is the path that answers with all views of a host once.
	FullViewPath = "/v1/known"
)

// Subscriber reads streams, one at a time.
type Subscriber struct {
	http           *http.Client
	silenceTimeout time.Duration
}

// New returns a Subscriber that closes a stream on which no frame arrives for the given time.
func New(silenceTimeout time.Duration) *Subscriber {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Subscriber{silenceTimeout: silenceTimeout, http: &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// Read passes each frame of the host at the address to handle until the stream ends. The first frame must arrive
// within firstTimeout. The error gives the reason for the end.
func (s *Subscriber) Read(ctx context.Context, address string, firstTimeout time.Duration, handle func(f frame.Frame) error) error {
	return s.read(ctx, "http://"+address+StreamPath+"?"+broadcaster.DifferencesParameter+"=1", firstTimeout, handle)
}

// ReadFullView passes the frames of all current views of the host at the address to handle.
func (s *Subscriber) ReadFullView(ctx context.Context, address string, handle func(f frame.Frame) error) error {
	err := s.read(ctx, "http://"+address+FullViewPath, s.silenceTimeout, handle)
	if errors.Is(err, errBodyEnded) {
		return nil
	}
	return err
}

// errBodyEnded means that the other host ended its response, which is expected of FullViewPath but not of a stream.
var errBodyEnded = errors.Wrap(ErrSilent, "response ended")

func (s *Subscriber) read(ctx context.Context, url string, firstTimeout time.Duration, handle func(f frame.Frame) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(firstTimeout, cancel)
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
		return errors.Wrapf(ErrNotServing, "%s responds with status %d", url, response.StatusCode)
	}
	limited := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(bufio.NewReader(limited))
	for {
		limited.N = maxFrameBytes
		var f frame.Frame
		if err := decoder.Decode(&f); limited.N <= 0 {
			return errors.Wrapf(ErrSilent, "%s: frame has more than %d bytes", url, maxFrameBytes)
		} else if errors.Is(err, io.EOF) {
			return errors.Wrapf(errBodyEnded, "%s", url)
		} else if err != nil {
			return errors.Wrapf(ErrSilent, "%s: %v", url, err)
		}
		watchdog.Reset(s.silenceTimeout)
		if err := deliver(f, handle); err != nil {
			return errors.Wrapf(err, "%s", url)
		}
	}
}

// deliver passes a frame to handle, or returns ErrStoreLost if the frame reports that.
func deliver(f frame.Frame, handle func(f frame.Frame) error) error {
	if f.StoreLost {
		return ErrStoreLost
	}
	return handle(f)
}
