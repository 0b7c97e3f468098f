package linker

import (
	"bytes"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarhook.example/lib/wire"
)

// parcel is one encoded frame that waits to be sent.
type parcel struct {
	data     []byte
	soft     bool
	snapshot bool
}

// outbox is the bounded queue of one link; it never blocks the sender.
type outbox struct {
	mu      sync.Mutex
	parcels []parcel
	limit   int
	ready   chan struct{}
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1)}
}

// put queues the parcel and returns how many older ones it pushed out.
func (o *outbox) put(p parcel) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	dropped := 0
	if p.snapshot {
		dropped += o.remove(func(old parcel) bool { return old.snapshot })
	}
	if len(o.parcels) >= o.limit {
		dropped += o.remove(func(old parcel) bool { return old.soft })
	}
	if len(o.parcels) >= o.limit {
		return dropped, ErrQueueFull
	}
	o.parcels = append(o.parcels, p)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return dropped, nil
}

// remove takes out the oldest parcel that matches.
func (o *outbox) remove(match func(parcel) bool) int {
	at := slices.IndexFunc(o.parcels, match)
	if at < 0 {
		return 0
	}
	o.parcels = slices.Delete(o.parcels, at, at+1)
	return 1
}

// take returns everything that waits as one piece of bytes, and the number of frames in it.
func (o *outbox) take() ([]byte, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch []byte
	for _, p := range o.parcels {
		batch = append(batch, p.data...)
	}
	frames := len(o.parcels)
	clear(o.parcels)
	o.parcels = o.parcels[:0]
	return batch, frames
}

// encode returns the frame with its length before it.
func encode(frame *wire.Frame) (parcel, error) {
	var buffer bytes.Buffer
	if _, err := protodelim.MarshalTo(&buffer, frame); err != nil {
		return parcel{}, errors.Wrap(err, "encode frame")
	}
	if buffer.Len() > MaxFrameBytes {
		return parcel{}, errors.Wrapf(ErrTooLarge, "%d bytes, %d allowed", buffer.Len(), MaxFrameBytes)
	}
	return parcel{data: buffer.Bytes(), soft: isSoft(frame), snapshot: frame.GetSnapshotReply() != nil}, nil
}

// isSoft reports whether a later frame of the same kind makes up for a lost one.
func isSoft(frame *wire.Frame) bool {
	switch frame.GetBody().(type) {
	case *wire.Frame_Heartbeat, *wire.Frame_Demand, *wire.Frame_Sighting, *wire.Frame_SnapshotRequest:
		return true
	default:
		return false
	}
}

// isBudgeted reports whether the frame counts against the budget for measuring load.
func isBudgeted(frame *wire.Frame) bool {
	switch frame.GetBody().(type) {
	case *wire.Frame_Hello, *wire.Frame_Heartbeat, *wire.Frame_SnapshotRequest, *wire.Frame_SnapshotReply:
		return false
	default:
		return true
	}
}
