package storer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"poplarhook.example/lib/object"
)

// answer is a complete answer of the store to a read.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) parseObject(key string) (object.Object, error) {
	switch a.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return object.Object{}, ErrNotFound
	case http.StatusNotModified:
		return object.Object{}, ErrUnchanged
	default:
		return object.Object{}, errors.Wrapf(ErrUnavailable, "status %d", a.status)
	}
	version, err := parseVersion(a.header)
	if err != nil {
		return object.Object{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return object.Object{Key: key, Version: version, Value: a.body}, nil
}

func newWriteError(status int) error {
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusServiceUnavailable:
		return errors.Wrapf(ErrUnavailable, "status %d", status)
	default:
		return errors.Wrapf(ErrUnknownOutcome, "status %d", status)
	}
}

func parseVersion(header http.Header) (int64, error) {
	tag := header.Get("ETag")
	version, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, errors.Errorf("ETag %q is not a version", tag)
	}
	return version, nil
}

// sendTrace records whether a request got a connection; after that, bytes of it may have been sent.
type sendTrace struct {
	connected atomic.Bool
}

func (s *sendTrace) hasStartedSending() bool {
	return s.connected.Load()
}

func traceSending(ctx context.Context) (context.Context, *sendTrace) {
	sent := &sendTrace{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}
