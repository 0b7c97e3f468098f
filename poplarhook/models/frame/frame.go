package frame

import (
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
	// GraceMS is how much longer entries that lapsed while the store was away may come back, in milliseconds.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// Hops is, in a sign of life, through how many hosts the sender hears the store.
	Hops int `json:"hops,omitempty"`
	// Lost says that the sender no longer hears the store.
	Lost bool `json:"lost,omitempty"`
}

// New returns the frame of a view: its changes if it has any, else all its items.
func New[T any](feed string, v view.View[T]) (Frame, error) {
	f := Frame{Feed: feed, Revision: v.Revision}
	var err error
	if v.Changed != nil {
		f.Changes, err = json.Marshal(v.Changed)
	} else {
		f.Items, err = json.Marshal(v.Items)
	}
	return f, errors.Wrapf(err, "encode %s", feed)
}

// View returns the view that the frame holds.
func View[T any](f Frame, now time.Time) (view.View[T], error) {
	v := view.View[T]{Revision: f.Revision, HeardAt: now}
	if f.Changes == nil {
		return v, errors.Wrapf(json.Unmarshal(f.Items, &v.Items), "items of %s", f.Feed)
	}
	v.Changed = []change.Change[T]{}
	return v, errors.Wrapf(json.Unmarshal(f.Changes, &v.Changed), "changes of %s", f.Feed)
}

// IsPulse reports whether the frame is a sign of life.
func (f Frame) IsPulse() bool {
	return f.Feed == "" && f.GraceMS == 0 && !f.Lost
}
