package linker

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestFullOutboxDropsOldestReplaceableFrame(t *testing.T) {
	c := qt.New(t)
	box := newOutbox(3)
	enqueue := func(data string, replaceable bool) (int, error) {
		return box.enqueue(queuedFrame{data: []byte(data), replaceable: replaceable})
	}
	for _, data := range []string{"a", "b", "c"} {
		_, err := enqueue(data, data != "a")
		c.Assert(err, qt.IsNil)
	}
	dropped, err := enqueue("d", false)
	c.Check(err, qt.IsNil)
	c.Check(dropped, qt.Equals, 1)
	_, err = enqueue("e", false)
	c.Check(err, qt.IsNil)
	_, err = enqueue("f", true)
	c.Check(errors.Is(err, ErrQueueFull), qt.IsTrue)
	batch, frames := box.drain()
	c.Check(string(batch), qt.Equals, "ade")
	c.Check(frames, qt.Equals, 3)
}

func TestNewSnapshotReplacesQueuedSnapshot(t *testing.T) {
	c := qt.New(t)
	box := newOutbox(8)
	for _, data := range []string{"1", "2"} {
		_, err := box.enqueue(queuedFrame{data: []byte(data), snapshot: true})
		c.Assert(err, qt.IsNil)
	}
	batch, _ := box.drain()
	c.Check(string(batch), qt.Equals, "2")
}
