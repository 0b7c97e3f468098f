package exchanger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/poplarhook/modules/exchanger"
	"poplarhook.example/poplarhook/modules/reserver"
)

const (
	// headDeadline is the deadline of requests whose answers have a head without end.
	headDeadline = 10 * time.Second
	// endlessDeadline is the deadline of requests whose answers have a body without end.
	endlessDeadline = 1500 * time.Millisecond
	// maxEndlessHeap is how much memory answers without end may take in all.
	maxEndlessHeap = 32 << 20
	// maxEndlessBytes bounds what the endpoint of a test sends, so that a failing test does not use up the memory of the
	// machine.
	maxEndlessBytes = 8 << 20
)

// endlessScript returns a script that answers with start and then repeats text until the other side closes the
// connection.
func endlessScript(start, text string) func(int, net.Conn, *http.Request) bool {
	chunk := []byte(strings.Repeat(text, 4096/len(text)+1))
	first := append([]byte(start), chunk...)
	return func(_ int, conn net.Conn, _ *http.Request) bool {
		_, err := conn.Write(first)
		for sent := 0; sent < maxEndlessBytes && err == nil; sent += len(chunk) {
			_, err = conn.Write(chunk)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		return false
	}
}

// endlessHeads are answers whose head never ends.
var endlessHeads = map[string]struct{ start, repeated string }{
	"status line":                {"HTTP/1.1 200 ", "O"},
	"no status line":             {"", "x"},
	"header value":               {"HTTP/1.1 200 OK\r\nX-Load: ", "1"},
	"header name":                {"HTTP/1.1 200 OK\r\n", "x"},
	"headers":                    {"HTTP/1.1 200 OK\r\n", "a:1\r\n"},
	"continued header":           {"HTTP/1.1 200 OK\r\nX-Load: 1\r\n", " 1\r\n"},
	"empty lines":                {"", "\r\n"},
	"interim responses":          {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"interim responses, headers": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
}

// exchangeBefore sends the request and reads the whole answer until the deadline.
func exchangeBefore(e *exchanger.Exchanger, request *http.Request, deadline time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	response, err := e.Exchange(ctx, request, time.Minute, time.Time{}, false)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// An endpoint that sends a head without end is cut off long before the deadline, and its connection is closed. The
// request may have run.
func TestEndlessHeadIsAnError(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			fake := startRawEndpoint(t, endlessScript(head.start, head.repeated))
			e := exchanger.New(fake.listener.Addr().String())
			startedAt := time.Now()
			err := exchangeBefore(e, newRequest(t, http.MethodPost), headDeadline)
			c.Assert(errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Assert(time.Since(startedAt) < headDeadline/2, quicktest.IsTrue)
			c.Assert(e.Counts().OpenNow, quicktest.Equals, 0)
			c.Assert(fake.count(), quicktest.Equals, 1)
		})
	}
}

// peakHeap returns the highest heap size above that at the start while the function runs, in bytes.
func peakHeap(run func()) uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	atRest := stats.HeapAlloc
	var peak atomic.Uint64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(2 * time.Millisecond)
		defer ticker.Stop()
		for {
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), now.HeapAlloc))
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
		}
	}()
	run()
	close(stop)
	<-stopped
	return peak.Load() - min(atRest, peak.Load())
}

// The memory for 200 heads without end at once stays below 32 MB, since a small host has 184 MB in all.
func TestEndlessHeadsTakeLittleMemory(t *testing.T) {
	const requests = 200
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			fake := startRawEndpoint(t, endlessScript(head.start, head.repeated))
			e := exchanger.New(fake.listener.Addr().String(), exchanger.WithMaxOpen(requests), exchanger.WithDialTimeout(headDeadline),
				exchanger.WithHeadReserver(reserver.New(4<<20)))
			used := peakHeap(func() {
				var running sync.WaitGroup
				for range requests {
					request := newRequest(t, http.MethodGet)
					running.Go(func() {
						err := exchangeBefore(e, request, headDeadline)
						c.Check(errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue, quicktest.Commentf("%v", err))
					})
				}
				running.Wait()
			})
			c.Check(used < maxEndlessHeap, quicktest.IsTrue, quicktest.Commentf("%d MB", used>>20))
			c.Check(e.Counts().OpenNow, quicktest.Equals, 0)
		})
	}
}

// Bodies without end are read only until the deadline and never to a clean end.
func TestEndlessBodyNeverEndsCleanly(t *testing.T) {
	for name, answer := range map[string]struct{ start, repeated string }{
		"no declared length":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk size":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":              {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: ", "x"},
		"trailers":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a:1\r\n"},
		"empty line of chunks": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			fake := startRawEndpoint(t, endlessScript(answer.start, answer.repeated))
			e := exchanger.New(fake.listener.Addr().String(), exchanger.WithCloseDelimited(), exchanger.WithTrailingBytes())
			startedAt := time.Now()
			used := peakHeap(func() {
				err := exchangeBefore(e, newRequest(t, http.MethodGet), endlessDeadline)
				c.Check(errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue, quicktest.Commentf("%v", err))
			})
			c.Check(time.Since(startedAt) < 4*endlessDeadline, quicktest.IsTrue)
			c.Check(used < maxEndlessHeap, quicktest.IsTrue, quicktest.Commentf("%d MB", used>>20))
			c.Check(e.Counts().OpenNow, quicktest.Equals, 0)
		})
	}
}

// Bytes beyond the declared length, and bytes on an idle connection, reach no request however many there are.
func TestEndlessBytesAfterAnswerReachNoRequest(t *testing.T) {
	c := quicktest.New(t)
	endless := endlessScript(okAnswer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	fake := startRawEndpoint(t, func(n int, conn net.Conn, request *http.Request) bool {
		if n%2 == 0 {
			return writeText(conn, okAnswer)
		}
		return endless(n, conn, request)
	})
	closed := make(chan string, 1)
	e := exchanger.New(fake.listener.Addr().String(), exchanger.WithTrailingBytes(),
		exchanger.WithIdleClosedHook(func(address string) { closed <- address }))
	for range 20 {
		body, err := exchange(t, e, newRequest(t, http.MethodGet))
		c.Assert(err == nil || errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue, quicktest.Commentf("%v", err))
		if err == nil {
			c.Assert(body, quicktest.Equals, "ok")
		}
		select {
		case <-closed:
		default:
		}
	}
	awaiter.New(time.Millisecond).Await(t, 5*time.Second, "connections to close", func() bool {
		return e.Counts().OpenNow <= e.Counts().IdleNow
	})
}

// A head that arrives one byte at a time is read only until the deadline.
func TestSlowHeadEndsAtDeadline(t *testing.T) {
	c := quicktest.New(t)
	fake := startRawEndpoint(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		ticker := time.NewTicker(20 * time.Millisecond)
		defer ticker.Stop()
		for writeText(conn, "H") {
			<-ticker.C
		}
		return false
	})
	e := exchanger.New(fake.listener.Addr().String())
	startedAt := time.Now()
	err := exchangeBefore(e, newRequest(t, http.MethodGet), 200*time.Millisecond)
	c.Assert(errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue)
	c.Assert(time.Since(startedAt) < 2*time.Second, quicktest.IsTrue)
	c.Assert(e.Counts().OpenNow, quicktest.Equals, 0)
}

// A head of a usual size is accepted whatever the body behind it holds.
func TestLargeHeadsWithinTheLimitAreAccepted(t *testing.T) {
	for name, head := range map[string]string{
		"long header":  "X-Long: " + strings.Repeat("x", 48<<10) + "\r\n",
		"many headers": strings.Repeat("X-Many: 1\r\n", 200),
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			body := strings.Repeat("\n", 8192)
			fake := startRawEndpoint(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				return writeText(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 8192\r\n\r\n"+body)
			})
			e := exchanger.New(fake.listener.Addr().String())
			for range 3 {
				got, err := exchange(t, e, newRequest(t, http.MethodGet))
				c.Assert(err, quicktest.IsNil)
				c.Assert(got, quicktest.Equals, body)
			}
			c.Assert(e.Counts().Dialed, quicktest.Equals, uint64(1))
		})
	}
}
