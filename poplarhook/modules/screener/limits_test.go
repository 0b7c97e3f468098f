package screener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/poplarhook/modules/screener"
	"poplarhook.example/poplarhook/services/memorylimiter"
)

// limitedServer is a server behind a Screener. Requests for /held wait until held is closed.
type limitedServer struct {
	*httptest.Server
	screener    *screener.Screener
	held        chan struct{}
	releaseOnce sync.Once

	mu     sync.Mutex
	paths  []string
	events map[string]int
}

func newLimitedServer(t *testing.T, options ...screener.Option) *limitedServer {
	t.Helper()
	s := &limitedServer{held: make(chan struct{}), events: make(map[string]int)}
	s.Server = httptest.NewUnstartedServer(screener.MarkAmbiguous(s))
	options = append([]screener.Option{screener.WithCounter(s.count)}, options...)
	s.screener = screener.New(s.Listener, options...)
	s.Listener = s.screener
	s.Config.ConnContext = screener.ConnContext
	s.Start()
	t.Cleanup(func() {
		s.release()
		s.Close()
	})
	return s
}

// release lets the requests for /held go on.
func (s *limitedServer) release() {
	s.releaseOnce.Do(func() { close(s.held) })
}

func (s *limitedServer) count(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[event]++
}

func (s *limitedServer) counted(event string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[event]
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.paths = append(s.paths, r.URL.Path)
	s.mu.Unlock()
	if r.URL.Path == "/held" {
		<-s.held
	}
	screener.CloseLast(w, r).WriteHeader(http.StatusNoContent)
}

func (s *limitedServer) served() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.paths...)
}

func (s *limitedServer) dial(t *testing.T, text string) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", s.screener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return bufio.NewReader(conn)
}

// statuses reads responses until the connection ends and returns their status codes.
func statuses(t *testing.T, reader *bufio.Reader) []int {
	t.Helper()
	var all []int
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			var timeout net.Error
			qt.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse, qt.Commentf("the connection stays open after %v", all))
			return all
		}
		all = append(all, response.StatusCode)
	}
}

func limits(bytes int, d time.Duration) screener.Option {
	return screener.WithLimits(func() screener.Limits { return screener.Limits{HeadBytes: bytes, HeadTime: d} })
}

func request(path, header string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + header + "\r\n"
}

// A head over the limit must be refused before it is read whole, and one within it must be served, also behind another
// request.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	c := qt.New(t)
	s := newLimitedServer(t, limits(16<<10, time.Minute))
	within, over := "X-Long: "+strings.Repeat("x", 16<<10-60)+"\r\n", "X-Long: "+strings.Repeat("x", 60<<10)+"\r\n"
	lines := strings.Repeat("a:1\r\n", 12<<10)
	reader := s.dial(t, request("/within", within))
	c.Assert(statuses(t, reader), qt.DeepEquals, []int{204})
	for _, header := range []string{over, lines} {
		reader = s.dial(t, request("/over", header))
		c.Assert(statuses(t, reader), qt.DeepEquals, []int{431})
	}
	c.Assert(s.counted("head_too_large"), qt.Equals, 2)
	c.Assert(s.served(), qt.DeepEquals, []string{"/within"})
}

// A head that does not end within the time of the configuration must not keep its connection.
func TestSlowHeadIsCutOff(t *testing.T) {
	c := qt.New(t)
	s := newLimitedServer(t, limits(16<<10, 10*time.Millisecond))
	reader := s.dial(t, "GET /slow HTTP/1.1\r\n")
	c.Assert(statuses(t, reader), qt.HasLen, 0)
	c.Assert(s.served(), qt.HasLen, 0)
}

// Empty lines before a request must not count as the end of a header section, or the ambiguity of a later request would
// be ascribed to another one; without end they must not keep the connection.
func TestEmptyLines(t *testing.T) {
	c := qt.New(t)
	s := newLimitedServer(t)
	body := "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"
	held := "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
	reader := s.dial(t, body+"\r\n"+held)
	c.Assert(statuses(t, reader), qt.DeepEquals, []int{204, 204})
	reader = s.dial(t, body+strings.Repeat("\r\n", 1000))
	c.Assert(statuses(t, reader), qt.DeepEquals, []int{204})
	c.Assert(s.served(), qt.DeepEquals, []string{"/body", "/next", "/body"})
}

// Large heads share the memory of bodies. One that finds none left is refused.
func TestLargeHeadNeedsMemory(t *testing.T) {
	c := qt.New(t)
	l := memorylimiter.New(100 << 10)
	s := newLimitedServer(t, screener.WithMemory(l))
	reader := s.dial(t, request("/small", ""))
	c.Assert(statuses(t, reader), qt.DeepEquals, []int{204})
	reader = s.dial(t, request("/large", "X-Long: "+strings.Repeat("x", 20<<10)+"\r\n"))
	c.Assert(statuses(t, reader), qt.DeepEquals, []int{204})
	reader = s.dial(t, request("/refused", strings.Repeat("a:1\r\n", 4<<10)))
	c.Assert(statuses(t, reader), qt.DeepEquals, []int{503})
	c.Assert(s.served(), qt.DeepEquals, []string{"/small", "/large"})
	awaiter.New(time.Millisecond).Await(t, 5*time.Second, "all memory is released", func() bool { return l.Used() == 0 })
}

// At the limit on connections, the one that has waited longest without a head is closed first, then the idle ones; those
// with a request in progress are kept, and none is accepted if all have one.
func TestConnectionsOverTheLimit(t *testing.T) {
	c := qt.New(t)
	s := &limitedServer{held: make(chan struct{}), events: make(map[string]int)}
	s.Server = httptest.NewUnstartedServer(screener.MarkAmbiguous(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.count(r.URL.Path)
		if r.URL.Path == "/held" {
			<-s.held
		}
	})))
	s.screener = screener.New(s.Listener, screener.WithCounter(s.count), screener.WithMaxConnections(3))
	s.Listener = s.screener
	s.Config.ConnContext = screener.ConnContext
	s.Start()
	t.Cleanup(func() {
		s.release()
		s.Close()
	})
	await := func(event string, n int) {
		awaiter.New(time.Millisecond).Await(t, 5*time.Second, fmt.Sprintf("%d of %s", n, event), func() bool { return s.counted(event) == n })
	}
	ended := func(reader *bufio.Reader) { c.Assert(statuses(t, reader), qt.HasLen, 0) }
	answered := func(reader *bufio.Reader) {
		response, err := http.ReadResponse(reader, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(response.StatusCode, qt.Equals, 200)
	}
	idle := s.dial(t, request("/idle", ""))
	answered(idle)
	held := s.dial(t, request("/held", ""))
	await("/held", 1)
	silent := s.dial(t, "GET /part")
	second := s.dial(t, request("/second", ""))
	ended(silent)
	answered(second)
	await("connection_evicted", 1)
	third := s.dial(t, request("/held", ""))
	await("/held", 2)
	ended(idle)
	fourth := s.dial(t, request("/held", ""))
	await("/held", 3)
	ended(second)
	refused := s.dial(t, request("/refused", ""))
	ended(refused)
	await("connection_refused", 1)
	s.release()
	answered(held)
	answered(third)
	answered(fourth)
	c.Assert(s.counted("/refused"), qt.Equals, 0)
	c.Assert(s.counted("connection_evicted"), qt.Equals, 3)
}

// A listener that drains answers every request that was read completely, also those behind the one in progress, and
// closes idle and silent connections.
func TestDrainAnswersEveryRequestThatWasRead(t *testing.T) {
	c := qt.New(t)
	s := newLimitedServer(t)
	silent := s.dial(t, "")
	partial := s.dial(t, "GET /part")
	pipelined := s.dial(t, request("/held", "")+request("/second", "")+request("/third", ""))
	awaiter.New(time.Millisecond).Await(t, 5*time.Second, "the request is in progress", func() bool { return len(s.served()) == 1 })
	drained := make(chan error, 1)
	go func() { drained <- s.screener.Drain(context.Background()) }()
	c.Assert(statuses(t, silent), qt.HasLen, 0)
	c.Assert(statuses(t, partial), qt.HasLen, 0)
	select {
	case err := <-drained:
		c.Fatalf("drained with requests in progress: %v", err)
	default:
	}
	s.release()
	c.Assert(statuses(t, pipelined), qt.DeepEquals, []int{204, 204, 204})
	c.Assert(<-drained, qt.IsNil)
	c.Assert(s.served(), qt.DeepEquals, []string{"/held", "/second", "/third"})
}

// A drain with a request that does not end must return at its limit.
func TestDrainEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	s := newLimitedServer(t)
	s.dial(t, request("/held", ""))
	awaiter.New(time.Millisecond).Await(t, 5*time.Second, "the request is in progress", func() bool { return len(s.served()) == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	c.Assert(s.screener.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
}

// net/http answers OPTIONS * itself. The connection must still count as idle afterwards, or it could not be closed.
func TestGeneralOptionsLeaveTheConnectionIdle(t *testing.T) {
	c := qt.New(t)
	s := newLimitedServer(t)
	reader := s.dial(t, "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n")
	response, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(response.StatusCode, qt.Equals, 200)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c.Assert(s.screener.Drain(ctx), qt.IsNil)
	c.Assert(s.served(), qt.HasLen, 0)
}

// A request that is answered before its body has arrived must not count as one that waits: later responses on the
// connection would then not announce that they close it.
func TestRequestAnsweredBeforeItsBodyDoesNotWait(t *testing.T) {
	server := httptest.NewUnstartedServer(screener.MarkAmbiguous(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(screener.CloseLast(w, r), "last")
		}
	})))
	server.Listener = screener.New(server.Listener)
	server.Config.ConnContext = screener.ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	reader := bufio.NewReader(conn)
	for i, text := range []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nx", "xxx", "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		_, err = io.WriteString(conn, text)
		qt.Assert(t, err, qt.IsNil)
		if i == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		qt.Assert(t, response.Close, qt.Equals, i == 2)
	}
}

// Methods are case-sensitive: net/http hands "options *" to the handler, so it counts as a request. Otherwise its
// connection would count as idle while the request runs, and could be closed for another.
func TestMethodInLowerCaseCountsAsARequest(t *testing.T) {
	handled, finish := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(screener.MarkAmbiguous(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(handled)
		<-finish
		qt.Check(t, r.Context().Err(), qt.IsNil)
	})))
	listener := screener.New(server.Listener)
	server.Listener = listener
	server.Config.ConnContext = screener.ConnContext
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, "options * HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	receive(t, handled)
	drained := make(chan error, 1)
	go func() { drained <- listener.Drain(t.Context()) }()
	// A connection without a request has half a second to send one.
	time.Sleep(700 * time.Millisecond)
	close(finish)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, receive(t, drained), qt.IsNil)
}

// A client that does not read its response must not hold the request, and what the request holds, without end.
func TestWriteToAClientThatDoesNotReadEnds(t *testing.T) {
	failed := make(chan error, 1)
	server := httptest.NewUnstartedServer(screener.MarkAmbiguous(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, 64<<10)
		for {
			if _, err := w.Write(piece); err != nil {
				failed <- err
				return
			}
		}
	})))
	server.Listener = screener.New(server.Listener, screener.WithWriteTimeout(200*time.Millisecond))
	server.Config.ConnContext = screener.ConnContext
	server.Start()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	defer conn.Close()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, receive(t, failed), qt.ErrorIs, os.ErrDeadlineExceeded)
}

// A connection without a request, as clients open them in reserve, must not outlast a drain whose limit is shorter than the
// time that it has for its first head otherwise. The stop counted as one that cut off requests.
func TestSilentConnectionDoesNotOutlastAShortDrain(t *testing.T) {
	c := qt.New(t)
	s := newLimitedServer(t)
	silent := s.dial(t, "")
	// An answer on a later connection shows that this one was accepted.
	response, err := http.Get("http://" + s.screener.Addr().String() + "/served")
	c.Assert(err, qt.IsNil)
	response.Body.Close()
	c.Assert(response.StatusCode, qt.Equals, http.StatusNoContent)
	ctx, cancel := context.WithTimeout(t.Context(), screener.HeadGrace/2)
	defer cancel()
	c.Assert(s.screener.Drain(ctx), qt.IsNil)
	c.Assert(statuses(t, silent), qt.HasLen, 0)
}
