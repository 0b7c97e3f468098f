package linker

import (
	"bytes"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"poplarhook.example/lib/wire"
)

// queuedFrame is an encoded frame that waits to be sent. If the queue is full, replaceable frames are dropped first.
type queuedFrame struct {
	data        []byte
	replaceable bool
	snapshot    bool
}

// outbox is the bounded queue of one link's outgoing frames; it never blocks the sender.
type outbox struct {
	mu    sync.Mutex
	queue []queuedFrame
	limit int
	ready chan struct{}
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, ready: make(chan struct{}, 1)}
}

// enqueue adds the frame and returns how many older frames it dropped. A new snapshot replaces one that still waits.
func (o *outbox) enqueue(p queuedFrame) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	dropped := 0
	if p.snapshot {
		dropped += o.removeOldest(func(old queuedFrame) bool { return old.snapshot })
	}
	if len(o.queue) >= o.limit {
		dropped += o.removeOldest(func(old queuedFrame) bool { return old.replaceable })
	}
	if len(o.queue) >= o.limit {
		return dropped, ErrQueueFull
	}
	o.queue = append(o.queue, p)
	select {
	case o.ready <- struct{}{}:
	default:
	}
	return dropped, nil
}

// removeOldest removes the oldest frame that matches and returns the number of removed frames, 0 or 1.
func (o *outbox) removeOldest(match func(queuedFrame) bool) int {
	at := slices.IndexFunc(o.queue, match)
	if at < 0 {
		return 0
	}
	o.queue = slices.Delete(o.queue, at, at+1)
	return 1
}

// drain empties the queue and returns its frames as one byte slice, with their number.
func (o *outbox) drain() ([]byte, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch []byte
	for _, p := range o.queue {
		batch = append(batch, p.data...)
	}
	frames := len(o.queue)
	clear(o.queue)
	o.queue = o.queue[:0]
	return batch, frames
}

// encodeFrame returns the frame in its wire format, which starts with its length.
func encodeFrame(frame *wire.Frame) (queuedFrame, error) {
	var buffer bytes.Buffer
	if _, err := protodelim.MarshalTo(&buffer, frame); err != nil {
		return queuedFrame{}, errors.Wrap(err, "encode frame")
	}
	if buffer.Len() > MaxFrameBytes {
		return queuedFrame{}, errors.Wrapf(ErrTooLarge, "%d bytes, %d allowed", buffer.Len(), MaxFrameBytes)
	}
	return queuedFrame{data: buffer.Bytes(), replaceable: isReplaceable(frame), snapshot: frame.GetSnapshotReply() != nil}, nil
}

// isReplaceable reports whether the frame may be dropped because a later one of the same kind replaces it.
func isReplaceable(frame *wire.Frame) bool {
	switch frame.GetBody().(type) {
	case *wire.Frame_Heartbeat, *wire.Frame_Demand, *wire.Frame_Sighting, *wire.Frame_SnapshotRequest:
		return true
	default:
		return false
	}
}

// isBudgeted reports whether the limiter must allow the frame before it is queued.
func isBudgeted(frame *wire.Frame) bool {
	switch frame.GetBody().(type) {
	case *wire.Frame_Hello, *wire.Frame_Heartbeat, *wire.Frame_SnapshotRequest, *wire.Frame_SnapshotReply:
		return false
	default:
		return true
	}
}
