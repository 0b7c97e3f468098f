package assembler_test

import (
	"context"
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/assembler"
	"poplarhook.example/lib/document"
	"poplarhook.example/lib/index"
	"poplarhook.example/lib/object"
)

var errAbsent = errors.New("absent")

type objects map[string]string

func (o objects) Get(_ context.Context, key string) (object.Object, error) {
	value, found := o[key]
	if !found {
		return object.Object{}, errAbsent
	}
	return object.Object{Key: key, Value: []byte(value)}, nil
}

func TestAssemble(t *testing.T) {
	store := objects{"a1": `{"team":"a","classes":[]}`, "b1": `{"team":"b","classes":[]}`, "b2": `{"team":"b","classes":null}`, "bad": "{"}
	x := index.Index{Revision: 3, ChangeID: "change-3", ZonesOut: []string{"fuerth"}, Documents: []index.Entry{{Team: "a", Key: "a1"}, {Team: "b", Key: "b1"}}}
	a := assembler.New(store)
	snap, err := a.Assemble(t.Context(), x)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snap.Revision, qt.Equals, int64(3))
	qt.Assert(t, snap.ChangeID, qt.Equals, "change-3")
	qt.Assert(t, snap.IsZoneOut("fuerth"), qt.IsTrue)
	qt.Assert(t, snap.Documents, qt.DeepEquals, []document.Document{
		{Team: "a", Classes: snap.Documents[0].Classes}, {Team: "b", Classes: snap.Documents[1].Classes},
	})

	delete(store, "a1")
	next := x.WithEntry(index.Entry{Team: "b", Key: "b2"})
	next.Revision = 4
	_, err = a.Assemble(t.Context(), next)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("a1 is cached"))
	_, err = a.Assemble(t.Context(), x)
	qt.Assert(t, err, qt.ErrorIs, assembler.ErrStale)

	next.Revision = 5
	for key, want := range map[string]error{"gone": errAbsent, "bad": assembler.ErrCorrupt, "a1": assembler.ErrCorrupt} {
		_, err = a.Assemble(t.Context(), next.WithEntry(index.Entry{Team: "b", Key: key}))
		qt.Check(t, err, qt.ErrorIs, want, qt.Commentf("%s", key))
	}
	a.Applied(9)
	_, err = a.Assemble(t.Context(), next)
	qt.Assert(t, err, qt.ErrorIs, assembler.ErrStale)
}

func TestDecode(t *testing.T) {
	want := index.Index{Revision: 2, Documents: []index.Entry{{Team: "a", Key: "a1", Revision: 2}}}
	value, err := json.Marshal(want)
	qt.Assert(t, err, qt.IsNil)
	got, err := assembler.Decode(object.Object{Value: value})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, want)
	_, err = assembler.Decode(object.Object{Key: index.Key, Value: []byte("[")})
	qt.Assert(t, err, qt.ErrorIs, assembler.ErrCorrupt)
}
