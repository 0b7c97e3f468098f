package frame

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
)

// Frame is one line of a stream: a view, its changes, a grace, or a sign of life.
type Frame struct {
	// Feed names the kind of the items, empty for a sign of life.
	Feed     string          `json:"feed,omitempty"`
	Revision int64           `json:"revision,omitempty"`
	Items    json.RawMessage `json:"items,omitempty"`
	Changes  json.RawMessage `json:"changes,omitempty"`
	// Since is the revision from which on the changes are only what differs in the end, zero for every item that changed.
	Since int64 `json:"since,omitempty"`
	// Packed is the items compressed with DEFLATE, in place of Items.
	Packed []byte `json:"packed,omitempty"`
	// GraceMS is how much longer entries that lapsed while the store was away may come back, in milliseconds.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// Hops is, in a sign of life, through how many hosts the sender hears the store.
	Hops int `json:"hops,omitempty"`
	// AtMS is, in a sign of life, the sender's clock in Unix milliseconds: clocks of hosts may differ.
	AtMS int64 `json:"at_ms,omitempty"`
	// Lost says that the sender no longer hears the store.
	Lost bool `json:"lost,omitempty"`
}

// packFrom is from what size on items are packed, in bytes: to pack takes about a megabyte of memory for a moment, which
// pays for lists of more than some hundred endpoints.
const packFrom = 32 << 10

// New returns the frame of a view: its changes if it has any, else all its items.
func New[T any](feed string, v view.View[T]) (Frame, error) {
	f := Frame{Feed: feed, Revision: v.Revision}
	var err error
	if v.Changed != nil {
		f.Since = v.Since
		f.Changes, err = json.Marshal(v.Changed)
		return f, errors.Wrapf(err, "encode changes of %s", feed)
	}
	f.Items, err = json.Marshal(v.Items)
	if err == nil && len(f.Items) >= packFrom {
		f.Packed, err = pack(f.Items)
		f.Items = nil
	}
	return f, errors.Wrapf(err, "encode %s", feed)
}

// pack compresses a text.
func pack(text []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	err = w.Close()
	return packed.Bytes(), errors.Wrap(err, "pack")
}

// View returns the view that the frame holds.
func View[T any](f Frame, now time.Time) (view.View[T], error) {
	v := view.View[T]{Revision: f.Revision, HeardAt: now}
	switch {
	case f.Changes != nil:
		v.Changed, v.Since = []change.Change[T]{}, f.Since
		return v, errors.Wrapf(json.Unmarshal(f.Changes, &v.Changed), "changes of %s", f.Feed)
	case f.Packed != nil:
		unpacked := json.NewDecoder(flate.NewReader(bytes.NewReader(f.Packed)))
		return v, errors.Wrapf(unpacked.Decode(&v.Items), "packed items of %s", f.Feed)
	default:
		return v, errors.Wrapf(json.Unmarshal(f.Items, &v.Items), "items of %s", f.Feed)
	}
}

// IsPulse reports whether the frame is a sign of life.
func (f Frame) IsPulse() bool {
	return f.Feed == "" && f.GraceMS == 0 && !f.Lost
}
