package linker

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func TestFullOutboxDropsOldestSoftFrame(t *testing.T) {
	c := qt.New(t)
	box := newOutbox(3)
	put := func(data string, soft bool) (int, error) {
		return box.put(parcel{data: []byte(data), soft: soft})
	}
	for _, data := range []string{"a", "b", "c"} {
		_, err := put(data, data != "a")
		c.Assert(err, qt.IsNil)
	}
	dropped, err := put("d", false)
	c.Check(err, qt.IsNil)
	c.Check(dropped, qt.Equals, 1)
	_, err = put("e", false)
	c.Check(err, qt.IsNil)
	_, err = put("f", true)
	c.Check(errors.Is(err, ErrQueueFull), qt.IsTrue)
	batch, frames := box.take()
	c.Check(string(batch), qt.Equals, "ade")
	c.Check(frames, qt.Equals, 3)
}

func TestNewerSnapshotTakesThePlaceOfAWaitingOne(t *testing.T) {
	c := qt.New(t)
	box := newOutbox(8)
	for _, data := range []string{"1", "2"} {
		_, err := box.put(parcel{data: []byte(data), snapshot: true})
		c.Assert(err, qt.IsNil)
	}
	batch, _ := box.take()
	c.Check(string(batch), qt.Equals, "2")
}
