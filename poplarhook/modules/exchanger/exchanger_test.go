package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/modules/exchanger"
)

// wireFake is an endpoint that speaks raw bytes and counts the requests it received.
type wireFake struct {
	listener net.Listener
	mu       sync.Mutex
	received int
}

// newWireFake starts a fake that handles the nth request (from 1) by script.
func newWireFake(t *testing.T, script func(n int, conn net.Conn, request *http.Request) (keep bool)) *wireFake {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	f := &wireFake{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(conn, script)
		}
	}()
	return f
}

func (f *wireFake) serve(conn net.Conn, script func(int, net.Conn, *http.Request) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		f.mu.Lock()
		f.received++
		n := f.received
		f.mu.Unlock()
		if !script(n, conn, request) {
			return
		}
	}
}

func (f *wireFake) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

func say(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newRequest(t *testing.T, method string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://endpoint/orders", nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	return request
}

func exchange(t *testing.T, e *exchanger.Exchanger, request *http.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := e.Exchange(ctx, request, time.Minute, time.Time{}, false)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// An empty POST with an Idempotency-Key on a reused connection is what net/http's Transport sends twice.
func TestEmptyPostOnBrokenReusedConnectionIsSentOnce(t *testing.T) {
	c := quicktest.New(t)
	breakOnSecond := func(n int, conn net.Conn, _ *http.Request) bool {
		return n != 2 && say(conn, whole)
	}

	fake := newWireFake(t, breakOnSecond)
	e := exchanger.New(fake.listener.Addr().String())
	_, err := exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	request := newRequest(t, http.MethodPost)
	request.Header.Set("Idempotency-Key", "order-1")
	_, err = exchange(t, e, request)
	c.Assert(errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue)
	c.Assert(fake.count(), quicktest.Equals, 2)

	control := newWireFake(t, breakOnSecond)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		sent := newRequest(t, method)
		sent.URL.Host = control.listener.Addr().String()
		sent.Header.Set("Idempotency-Key", "order-1")
		response, err := transport.RoundTrip(sent)
		c.Assert(err, quicktest.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	c.Assert(control.count(), quicktest.Equals, 3, quicktest.Commentf("net/http's Transport sends the order twice"))
}

func TestBadAnswersAreBroken(t *testing.T) {
	cases := []struct {
		name, answer string
		want         error
	}{
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", exchanger.ErrBroken},
		{"longer than declared", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", exchanger.ErrExcess},
		{"no declared end", "HTTP/1.1 200 OK\r\n\r\nwho knows", exchanger.ErrBroken},
		{"chunks break off", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", exchanger.ErrBroken},
		{"no head", "HTTP/1.1 200", exchanger.ErrBroken},
		{"nothing", "", exchanger.ErrBroken},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := quicktest.New(t)
			fake := newWireFake(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				say(conn, tc.answer)
				return false
			})
			e := exchanger.New(fake.listener.Addr().String())
			_, err := exchange(t, e, newRequest(t, http.MethodGet))
			c.Assert(errors.Is(err, tc.want), quicktest.IsTrue, quicktest.Commentf("%v", err))
			c.Assert(e.Counts().IdleNow, quicktest.Equals, 0)
			c.Assert(e.Counts().OpenNow, quicktest.Equals, 0)
		})
	}
}

func TestAbandonedAnswerIsNeverSeenByTheNextRequest(t *testing.T) {
	c := quicktest.New(t)
	late := make(chan struct{})
	fake := newWireFake(t, func(n int, conn net.Conn, _ *http.Request) bool {
		if n == 1 {
			<-late
			say(conn, strings.Replace(whole, "ok", "no", 1))
			return true
		}
		return say(conn, whole)
	})
	e := exchanger.New(fake.listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := e.Exchange(ctx, newRequest(t, http.MethodGet), time.Minute, time.Time{}, false)
	c.Assert(errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue)
	close(late)
	body, err := exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	c.Assert(body, quicktest.Equals, "ok")
}

func TestNothingIsSentAfterTheRightEnded(t *testing.T) {
	c := quicktest.New(t)
	fake := newWireFake(t, func(_ int, conn net.Conn, _ *http.Request) bool { return say(conn, whole) })
	now := time.Now()
	e := exchanger.New(fake.listener.Addr().String(), exchanger.WithClock(func() time.Time { return now }))
	_, err := e.Exchange(context.Background(), newRequest(t, http.MethodGet), time.Minute, now, false)
	c.Assert(errors.Is(err, exchanger.ErrHeldBack), quicktest.IsTrue)
	c.Assert(fake.count(), quicktest.Equals, 0)
}

func TestUnreachableEndpointIsNotSent(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	listener.Close()
	e := exchanger.New(listener.Addr().String())
	_, err = exchange(t, e, newRequest(t, http.MethodPost))
	c.Assert(errors.Is(err, exchanger.ErrNotSent), quicktest.IsTrue)
}

func TestUnprovedConnectionIsNotReused(t *testing.T) {
	c := quicktest.New(t)
	fake := newWireFake(t, func(_ int, conn net.Conn, _ *http.Request) bool { return say(conn, whole) })
	now := time.Now()
	e := exchanger.New(fake.listener.Addr().String(), exchanger.WithClock(func() time.Time { return now }))
	for range 2 {
		_, err := exchange(t, e, newRequest(t, http.MethodGet))
		c.Assert(err, quicktest.IsNil)
	}
	c.Assert(e.Counts().Dialed, quicktest.Equals, uint64(1))
	now = now.Add(time.Second)
	response, err := e.Exchange(context.Background(), newRequest(t, http.MethodPost), 250*time.Millisecond, time.Time{}, false)
	c.Assert(err, quicktest.IsNil)
	response.Body.Close()
	c.Assert(e.Counts().Dialed, quicktest.Equals, uint64(2))
}

func TestClosedIdleConnectionIsNoticed(t *testing.T) {
	c := quicktest.New(t)
	closeNow := make(chan struct{})
	fake := newWireFake(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		say(conn, whole)
		<-closeNow
		return false
	})
	lost := make(chan string, 1)
	e := exchanger.New(fake.listener.Addr().String(), exchanger.WithLostHook(func(address string) { lost <- address }))
	_, err := exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	c.Assert(e.Proved(), quicktest.IsTrue)
	close(closeNow)
	c.Assert(<-lost, quicktest.Equals, fake.listener.Addr().String())
	c.Assert(e.Proved(), quicktest.IsFalse)
	c.Assert(e.Counts().OpenNow, quicktest.Equals, 0)
}

// Once-only work that is bound alone may need a fresh connection; an older open one shows that the endpoint is the same.
func TestReuseOnlyTrustsAnOlderOpenConnection(t *testing.T) {
	c := quicktest.New(t)
	fake := newWireFake(t, func(_ int, conn net.Conn, _ *http.Request) bool { return say(conn, whole) })
	now := time.Now()
	e := exchanger.New(fake.listener.Addr().String(), exchanger.WithClock(func() time.Time { return now }))
	_, err := exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	now = now.Add(time.Second)
	response, err := e.Exchange(context.Background(), newRequest(t, http.MethodPost), 250*time.Millisecond, time.Time{}, true)
	c.Assert(err, quicktest.IsNil)
	response.Body.Close()
	c.Assert(e.Counts().Dialed, quicktest.Equals, uint64(2))
}

func TestReuseOnlyOpensNoConnection(t *testing.T) {
	c := quicktest.New(t)
	fake := newWireFake(t, func(_ int, conn net.Conn, _ *http.Request) bool { return say(conn, whole) })
	e := exchanger.New(fake.listener.Addr().String())
	_, err := e.Exchange(context.Background(), newRequest(t, http.MethodGet), time.Minute, time.Time{}, true)
	c.Assert(errors.Is(err, exchanger.ErrHeldBack), quicktest.IsTrue)
	_, err = exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	response, err := e.Exchange(context.Background(), newRequest(t, http.MethodGet), time.Minute, time.Time{}, true)
	c.Assert(err, quicktest.IsNil)
	response.Body.Close()
	c.Assert(fake.count(), quicktest.Equals, 2)
}

// Bytes that came on an idle connection before a request must not pass for its answer.
func TestUnaskedAnswerIsNeverTakenForOne(t *testing.T) {
	c := quicktest.New(t)
	answered, spoken := make(chan struct{}), make(chan struct{})
	fake := newWireFake(t, func(n int, conn net.Conn, _ *http.Request) bool {
		say(conn, whole)
		if n%2 == 1 {
			<-answered
			say(conn, strings.Replace(whole, "ok", "no", 1))
			spoken <- struct{}{}
		}
		return true
	})
	e := exchanger.New(fake.listener.Addr().String())
	for range 50 {
		_, err := exchange(t, e, newRequest(t, http.MethodGet))
		c.Assert(err, quicktest.IsNil)
		answered <- struct{}{}
		<-spoken
		body, err := exchange(t, e, newRequest(t, http.MethodGet))
		c.Assert(err, quicktest.IsNil)
		c.Assert(body, quicktest.Equals, "ok")
	}
}

// A connection on which nothing was sent, since the right to send had ended, is watched and used as before.
func TestConnectionPutBackIsStillWatched(t *testing.T) {
	c := quicktest.New(t)
	closeNow := make(chan struct{})
	fake := newWireFake(t, func(n int, conn net.Conn, _ *http.Request) bool {
		say(conn, whole)
		if n == 2 {
			<-closeNow
			return false
		}
		return true
	})
	lost := make(chan string, 1)
	e := exchanger.New(fake.listener.Addr().String(), exchanger.WithLostHook(func(address string) { lost <- address }))
	_, err := exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	_, err = e.Exchange(context.Background(), newRequest(t, http.MethodGet), time.Minute, time.Now(), false)
	c.Assert(errors.Is(err, exchanger.ErrHeldBack), quicktest.IsTrue)
	c.Assert(e.Counts().IdleNow, quicktest.Equals, 1)
	_, err = exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	_, err = e.Exchange(context.Background(), newRequest(t, http.MethodGet), time.Minute, time.Now(), false)
	c.Assert(errors.Is(err, exchanger.ErrHeldBack), quicktest.IsTrue)
	close(closeNow)
	c.Assert(<-lost, quicktest.Equals, fake.listener.Addr().String())
	c.Assert(e.Counts().Dialed, quicktest.Equals, uint64(1))
	c.Assert(e.Counts().OpenNow, quicktest.Equals, 0)
}

// A request whose context ends while the answer is awaited on a reused connection ends with it.
func TestReusedConnectionIsInterrupted(t *testing.T) {
	c := quicktest.New(t)
	fake := newWireFake(t, func(n int, conn net.Conn, _ *http.Request) bool { return n > 1 || say(conn, whole) })
	e := exchanger.New(fake.listener.Addr().String())
	_, err := exchange(t, e, newRequest(t, http.MethodGet))
	c.Assert(err, quicktest.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	_, err = e.Exchange(ctx, newRequest(t, http.MethodGet), time.Minute, time.Time{}, false)
	c.Assert(errors.Is(err, exchanger.ErrBroken), quicktest.IsTrue)
	c.Assert(time.Since(startedAt) < 2*time.Second, quicktest.IsTrue)
	c.Assert(e.Counts().Reused, quicktest.Equals, uint64(1))
	c.Assert(e.Counts().OpenNow, quicktest.Equals, 0)
}
