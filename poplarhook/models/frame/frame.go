package frame

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"poplarhook.example/lib/change"
	"poplarhook.example/poplarhook/models/view"
)

// Frame is one line of a stream: a view, the changes to a view, a grace period, a heartbeat, or the notice that the
// sender lost the store.
type Frame struct {
	// Feed names the kind of the items. It is empty in a frame without items, such as a heartbeat.
	Feed     string          `json:"feed,omitempty"`
	Revision int64           `json:"revision,omitempty"`
	Items    json.RawMessage `json:"items,omitempty"`
	Changes  json.RawMessage `json:"changes,omitempty"`
	// Since is the base revision when Changes is only a net difference, and zero when Changes has every item that
	// changed.
	Since int64 `json:"since,omitempty"`
	// Difference is what the only item of the feed has other than the same item at the revisions From to Since. Only
	// readers that state that they understand it get it.
	Difference json.RawMessage `json:"difference,omitempty"`
	// From is the first revision at which the base of a difference was current; Since is the last one.
	From int64 `json:"from,omitempty"`
	// Packed holds the items compressed with DEFLATE. It is used in place of Items for long lists, and in place of Changes
	// or Difference if PackedField names one of them.
	Packed      []byte `json:"packed,omitempty"`
	PackedField string `json:"packed_field,omitempty"`
	// GraceMS is the rest of the grace period in milliseconds: endpoints whose entries expired while the store was
	// unavailable stay in use that long.
	GraceMS int64 `json:"grace_ms,omitempty"`
	// Hops is set in a heartbeat: the number of hosts between the sender and the store.
	Hops int `json:"hops,omitempty"`
	// AtMS is set in a heartbeat: the sender's clock in Unix milliseconds. The clocks of hosts may differ.
	AtMS int64 `json:"at_ms,omitempty"`
	// ClockUS and ConfirmedUS are set in a heartbeat where revocation is strict: the time since the start of the sender's
	// machine, and the time on the same clock at which the sender's configuration was last known to be current, zero if
	// it never was. Both are in microseconds, rounded so that the confirmation is never too late.
	ClockUS     int64 `json:"clock_us,omitempty"`
	ConfirmedUS int64 `json:"confirmed_us,omitempty"`
	// StoreLost is true when the sender no longer receives updates from the store.
	StoreLost bool `json:"lost,omitempty"`
}

// Values of Frame.PackedField.
const (
	packedChanges    = "changes"
	packedDifference = "difference"
)

// ErrNoDifference is returned for a frame that holds no difference.
var ErrNoDifference = errors.New("frame holds no difference")

// minCompressedBytes is the encoded size from which items are compressed. Compression needs about a megabyte of memory
// for a moment, which is worth it for lists of more than some hundred endpoints.
const minCompressedBytes = 32 << 10

// maxUnpackedBytes bounds the size of decompressed items; a few packed bytes can decompress to gigabytes.
const maxUnpackedBytes = 32 << 20

// New returns the frame of a view. It holds the changes if the view has them, otherwise all items.
func New[T any](feed string, v view.View[T]) (Frame, error) {
	f := Frame{Feed: feed, Revision: v.Revision}
	var err error
	if v.Changed != nil {
		f.Since = v.Since
		f.Changes, err = json.Marshal(v.Changed)
		return f, errors.Wrapf(err, "encode changes of %s", feed)
	}
	f.Items, err = json.Marshal(v.Items)
	if err == nil && len(f.Items) >= minCompressedBytes {
		f.Packed, err = compress(f.Items)
		f.Items = nil
	}
	return f, errors.Wrapf(err, "encode %s", feed)
}

// NewDifference returns the frame of a difference, which leads to the given revision from an item that was current from
// the revision from until the revision since.
func NewDifference(feed string, difference any, revision, from, since int64) (Frame, error) {
	f := Frame{Feed: feed, Revision: revision, From: from, Since: since}
	var err error
	f.Difference, err = json.Marshal(difference)
	if err != nil {
		return f, errors.Wrapf(err, "encode the difference of %s", feed)
	}
	return f.WithPackedChanges()
}

// WithPackedChanges returns a copy whose changes or difference are compressed if they are long. Only readers that
// understand differences can read it.
func (f Frame) WithPackedChanges() (Frame, error) {
	var err error
	switch {
	case len(f.Changes) >= minCompressedBytes:
		f.Packed, err = compress(f.Changes)
		f.PackedField, f.Changes = packedChanges, nil
	case len(f.Difference) >= minCompressedBytes:
		f.Packed, err = compress(f.Difference)
		f.PackedField, f.Difference = packedDifference, nil
	}
	return f, err
}

// HasDifference reports whether the frame holds a difference.
func (f Frame) HasDifference() bool {
	return f.Difference != nil || f.PackedField == packedDifference
}

// DecodeDifference decodes the difference of the frame into the target.
func (f Frame) DecodeDifference(target any) error {
	switch {
	case f.Difference != nil:
		return errors.Wrapf(json.Unmarshal(f.Difference, target), "difference of %s", f.Feed)
	case f.PackedField == packedDifference:
		return errors.Wrapf(f.unpack(target), "packed difference of %s", f.Feed)
	default:
		return errors.Wrapf(ErrNoDifference, "feed %s", f.Feed)
	}
}

// unpack decodes the compressed part of the frame into the target.
func (f Frame) unpack(target any) error {
	return json.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(f.Packed)), maxUnpackedBytes)).Decode(target)
}

// compress returns the text compressed with DEFLATE.
func compress(text []byte) ([]byte, error) {
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
	v := view.View[T]{Revision: f.Revision, ConfirmedAt: now}
	switch {
	case f.Changes != nil:
		v.Changed, v.Since = []change.Change[T]{}, f.Since
		return v, errors.Wrapf(json.Unmarshal(f.Changes, &v.Changed), "changes of %s", f.Feed)
	case f.PackedField == packedChanges:
		v.Changed, v.Since = []change.Change[T]{}, f.Since
		return v, errors.Wrapf(f.unpack(&v.Changed), "packed changes of %s", f.Feed)
	case f.Packed != nil:
		return v, errors.Wrapf(f.unpack(&v.Items), "packed items of %s", f.Feed)
	default:
		return v, errors.Wrapf(json.Unmarshal(f.Items, &v.Items), "items of %s", f.Feed)
	}
}

// WithConfirmation returns a copy of a heartbeat with the sender's clock and the time of its confirmation, zero if there
// is none.
func (f Frame) WithConfirmation(clock, confirmed time.Duration) Frame {
	f.ClockUS = int64((clock + time.Microsecond - 1) / time.Microsecond)
	f.ConfirmedUS = int64(confirmed / time.Microsecond)
	return f
}

// Confirmation returns the sender's clock and the time of its confirmation, zero if the frame has none.
func (f Frame) Confirmation() (clock, confirmed time.Duration) {
	return time.Duration(f.ClockUS) * time.Microsecond, time.Duration(f.ConfirmedUS) * time.Microsecond
}

// IsHeartbeat reports whether the frame is a heartbeat: it has no items, no grace period and no notice of a lost store.
func (f Frame) IsHeartbeat() bool {
	return f.Feed == "" && f.GraceMS == 0 && !f.StoreLost
}
