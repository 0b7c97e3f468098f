package exchanger_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarhook/modules/exchanger"
)

func TestConnectionIsNotReusedNearEndpointIdleTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		header string
		idle   time.Duration
		dialed uint64
	}{
		"idle for less than the margin allows":   {"Keep-Alive: timeout=10\r\n", 8 * time.Second, 1},
		"idle for longer than the margin allows": {"Keep-Alive: timeout=10, max=100\r\n", 9 * time.Second, 2},
		"timeout shorter than the margin":        {"Keep-Alive: timeout=1\r\n", time.Millisecond, 2},
		"no timeout":                             {"", 30 * time.Second, 1},
		"malformed":                              {"Keep-Alive: timeout=soon\r\n", 30 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			answer := "HTTP/1.1 200 OK\r\n" + test.header + "Content-Length: 2\r\n\r\nok"
			fake := startRawEndpoint(t, func(_ int, conn net.Conn, _ *http.Request) bool { return writeText(conn, answer) })
			now := time.Now()
			e := exchanger.New(fake.listener.Addr().String(), exchanger.WithClock(func() time.Time { return now }))
			_, err := exchange(t, e, newRequest(t, http.MethodGet))
			c.Assert(err, quicktest.IsNil)
			now = now.Add(test.idle)
			_, err = exchange(t, e, newRequest(t, http.MethodGet))
			c.Assert(err, quicktest.IsNil)
			c.Assert(e.Counts().Dialed, quicktest.Equals, test.dialed)
		})
	}
}

func TestCloseDelimitedResponses(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\nok"
	for name, test := range map[string]struct {
		options []exchanger.Option
		reset   bool
		want    error
	}{
		"refused by default":  {nil, false, exchanger.ErrBroken},
		"accepted if allowed": {[]exchanger.Option{exchanger.WithCloseDelimited()}, false, nil},
		"reset is an error":   {[]exchanger.Option{exchanger.WithCloseDelimited()}, true, exchanger.ErrBroken},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			fake := startRawEndpoint(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				writeText(conn, unframed)
				if test.reset {
					// The reset may arrive before the bytes are read. The response is incomplete in either case.
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			body, err := exchange(t, exchanger.New(fake.listener.Addr().String(), test.options...), newRequest(t, http.MethodGet))
			c.Assert(errors.Is(err, test.want), quicktest.IsTrue, quicktest.Commentf("%v", err))
			if test.want == nil {
				c.Assert(body, quicktest.Equals, "ok")
			}
		})
	}
}

func TestTrailingBytesCloseOnlyTheirConnection(t *testing.T) {
	c := quicktest.New(t)
	fake := startRawEndpoint(t, func(_ int, conn net.Conn, _ *http.Request) bool { return writeText(conn, okAnswer+okAnswer) })
	e := exchanger.New(fake.listener.Addr().String(), exchanger.WithTrailingBytes())
	for range 3 {
		body, err := exchange(t, e, newRequest(t, http.MethodPost))
		c.Assert(err, quicktest.IsNil)
		c.Assert(body, quicktest.Equals, "ok")
	}
	c.Assert(e.Counts().Dialed, quicktest.Equals, uint64(3))
	c.Assert(e.Counts().TrailingBytes, quicktest.Equals, uint64(3))
}
