package broadcaster_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/poplarhook/models/frame"
	"poplarhook.example/poplarhook/services/broadcaster"
)

// station is a broadcaster with its server, which counts how often everything known is put together.
type station struct {
	*broadcaster.Broadcaster
	url    string
	wholes atomic.Int64
	// first is the first line of the last stream.
	first string
}

func newStation(t *testing.T) *station {
	t.Helper()
	s := &station{}
	s.Broadcaster = broadcaster.New(func() []frame.Frame {
		s.wholes.Add(1)
		return []frame.Frame{{Feed: "endpoints", Revision: 1}}
	}, time.Now)
	s.SetServing(true)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	t.Cleanup(s.Close)
	s.url = server.URL
	return s
}

// read opens a stream.
func (s *station) read(t *testing.T) *bufio.Scanner {
	t.Helper()
	response, err := http.Get(s.url)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = response.Body.Close() })
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	lines := bufio.NewScanner(response.Body)
	s.first = next(t, lines)
	return lines
}

// clock matches the time in a sign of life.
var clock = regexp.MustCompile(`,?"at_ms":\d+`)

// next returns the next line without the time.
func next(t *testing.T, lines *bufio.Scanner) string {
	t.Helper()
	qt.Assert(t, lines.Scan(), qt.IsTrue)
	return clock.ReplaceAllString(lines.Text(), "")
}

func TestReadersThatComeTogetherShareWhatIsKnown(t *testing.T) {
	s := newStation(t)
	for range 5 {
		qt.Assert(t, next(t, s.read(t)), qt.Equals, `{"feed":"endpoints","revision":1}`)
	}
	qt.Assert(t, s.wholes.Load(), qt.Equals, int64(1))
	s.Send(func() (frame.Frame, bool) { return frame.Frame{Feed: "members", Revision: 2}, true })
	next(t, s.read(t))
	qt.Assert(t, s.wholes.Load(), qt.Equals, int64(2))
}

func TestAFrameIsMadeOnceForAllReadersAndNotForNone(t *testing.T) {
	s := newStation(t)
	made := 0
	send := func() {
		s.Send(func() (frame.Frame, bool) {
			made++
			return frame.Frame{Feed: "members", Revision: 2}, true
		})
	}
	send()
	qt.Assert(t, made, qt.Equals, 0)
	streams := []*bufio.Scanner{s.read(t), s.read(t)}
	awaiter.New(time.Millisecond).Await(t, time.Second, "both streams", func() bool { return s.Readers() == len(streams) })
	send()
	qt.Assert(t, made, qt.Equals, 1)
	for _, lines := range streams {
		next(t, lines)
		qt.Assert(t, next(t, lines), qt.Equals, `{"feed":"members","revision":2}`)
	}
}

func TestAGraceIsToldBeforeWhatTheListsLeaveOut(t *testing.T) {
	s := newStation(t)
	s.SetGrace(time.Now().Add(time.Hour))
	lines := s.read(t)
	qt.Assert(t, s.first, qt.Matches, `{"grace_ms":\d+}`)
	qt.Assert(t, next(t, lines), qt.Equals, "{}")
	qt.Assert(t, next(t, lines), qt.Equals, `{"feed":"endpoints","revision":1}`)
}

func TestANewStreamTellsFirstHowFarTheStoreIs(t *testing.T) {
	s := newStation(t)
	s.Pulse(3)
	s.read(t)
	qt.Assert(t, s.first, qt.Equals, `{"hops":3}`)
}

func TestAHostThatLostTheStoreServesNoNewReader(t *testing.T) {
	s := newStation(t)
	lines := s.read(t)
	next(t, lines)
	s.TellLost()
	s.Pulse(1)
	qt.Assert(t, next(t, lines), qt.Equals, `{"hops":1}`, qt.Commentf("a host that serves tells no loss"))
	s.SetServing(false)
	s.TellLost()
	s.TellLost()
	s.Pulse(2)
	qt.Assert(t, next(t, lines), qt.Equals, `{"lost":true}`)
	qt.Assert(t, next(t, lines), qt.Equals, `{"hops":2}`)
	response, err := http.Get(s.url)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
