package subscriber_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/services/subscriber"
)

func startHost(t *testing.T, serve func(w http.ResponseWriter)) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { serve(w) }))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// A frame that never ends is cut off; the frames before it are delivered.
func TestEndlessFrameEndsTheStream(t *testing.T) {
	c := qt.New(t)
	text := strings.Repeat("x", 64<<10)
	address := startHost(t, func(w http.ResponseWriter) {
		_, err := io.WriteString(w, `{"feed":"endpoints","revision":1,"items":[]}`+"\n"+`{"feed":"`)
		for err == nil {
			_, err = io.WriteString(w, text)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	frames := 0
	err := subscriber.New(20*time.Second).Read(ctx, address, 20*time.Second, func(frame.Frame) error { frames++; return nil })
	c.Assert(errors.Is(err, subscriber.ErrSilent), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(frames, qt.Equals, 1)
	c.Assert(ctx.Err(), qt.IsNil)
}

// Many frames together may be larger than one frame may be.
func TestLongStreamIsRead(t *testing.T) {
	c := qt.New(t)
	const frames = 40
	line := `{"feed":"endpoints","revision":1,"items":["` + strings.Repeat("x", 1<<20) + `"]}` + "\n"
	address := startHost(t, func(w http.ResponseWriter) {
		for range frames {
			_, _ = io.WriteString(w, line)
		}
	})
	got := 0
	err := subscriber.New(20*time.Second).ReadFullView(t.Context(), address, func(frame.Frame) error { got++; return nil })
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, frames)
}
