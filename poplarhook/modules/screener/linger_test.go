package screener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/awaiter"
	"poplarhook.example/poplarhook/modules/screener"
)

const (
	// largeBytes is the size of a response that a client with a small buffer leaves in the socket of the server for the
	// most part, although the server's write has returned.
	largeBytes = 1 << 20
	// smallBuffer is the size of the receive buffer of such a client.
	smallBuffer = 32 << 10
)

// closingServer is a server that writes large responses and closes its connections in different ways.
type closingServer struct {
	*httptest.Server
	screener *screener.Screener
	// closed receives a value when net/http has closed a connection.
	closed chan struct{}
	// idle is true once net/http has finished a request of a connection.
	idle atomic.Bool
}

// ServeHTTP answers /large with a large response. Another path says how the response to it closes the connection.
func (s *closingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	large := make([]byte, largeBytes)
	switch r.URL.Path {
	case "/orderly":
		w.Header().Set("Connection", "close")
		_, _ = w.Write(large)
	case "/broken":
		w.Header().Set("Content-Length", fmt.Sprint(largeBytes))
		_, _ = w.Write(large[:largeBytes/2])
		panic(http.ErrAbortHandler)
	case "/reset":
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
			conn.Close()
		}
		s.closed <- struct{}{}
	case "/unread":
		// The rest of the body is more than net/http reads before it closes the connection.
		_, _ = io.WriteString(w, "refused")
	default:
		_, _ = w.Write(large)
	}
}

func newClosingServer(t *testing.T, options ...screener.Option) *closingServer {
	t.Helper()
	s := &closingServer{closed: make(chan struct{}, 8)}
	s.Server = httptest.NewUnstartedServer(screener.MarkAmbiguous(s))
	s.screener = screener.New(s.Listener, options...)
	s.Listener = s.screener
	s.Config.ConnContext = screener.ConnContext
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateClosed:
			s.closed <- struct{}{}
		case http.StateIdle:
			s.idle.Store(true)
		default:
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// dialSlow sends the text on a connection whose client reads nothing yet.
func (s *closingServer) dialSlow(t *testing.T, text string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Timeout: 5 * time.Second}
	conn, err := dialer.Dial("tcp", s.screener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	qt.Assert(t, conn.(*net.TCPConn).SetReadBuffer(smallBuffer), qt.IsNil)
	qt.Assert(t, conn.SetDeadline(time.Now().Add(15*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, text)
	qt.Assert(t, err, qt.IsNil)
	return conn
}

// readLarge reads a large response and returns how it ended.
func readLarge(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && n != largeBytes {
		err = fmt.Errorf("response of %d bytes", n)
	}
	return err
}

// However a connection is closed, responses that were written to it must reach the client, also if the client sends
// further requests before it knows. The kernel answers bytes for a closed socket with a reset and discards what it has
// not sent yet.
func TestNoCloseDiscardsResponses(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		// sent is what the client sends before it reads.
		sent string
		// responses is how many complete responses it must get.
		responses int
		options   []screener.Option
		// closeServer makes the server close the connection, if the requests do not.
		closeServer func(s *closingServer)
	}{
		"orderly":       {sent: request("/large", "") + request("/orderly", ""), responses: 2},
		"by the client": {sent: request("/large", "Connection: close\r\n"), responses: 1},
		"broken off":    {sent: request("/large", "") + request("/broken", ""), responses: 1},
		"reset":         {sent: request("/large", "") + request("/reset", ""), responses: 1},
		"malformed":     {sent: request("/large", "") + "GET\r\n\r\n", responses: 1},
		"unread body":   {sent: request("/large", "") + "POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n", responses: 1},
		"head too large": {
			sent: request("/large", "") + "GET / HTTP/1.1\r\nX: " + string(make([]byte, 64<<10)), responses: 1,
			options: []screener.Option{limits(1<<10, time.Minute)},
		},
		"no idle time left": {
			sent: request("/large", ""), responses: 1,
			closeServer: func(s *closingServer) { s.Config.SetKeepAlivesEnabled(false) },
		},
		"evicted": {
			sent: request("/large", ""), responses: 1, options: []screener.Option{screener.WithMaxConnections(1)},
			closeServer: func(s *closingServer) {
				other, err := net.Dial("tcp", s.screener.Addr().String())
				if err == nil {
					other.Close()
				}
			},
		},
		"drained": {
			sent: request("/large", ""), responses: 1,
			closeServer: func(s *closingServer) { go func() { _ = s.screener.Drain(context.Background()) }() },
		},
		"shut down": {
			sent: request("/large", ""), responses: 1,
			closeServer: func(s *closingServer) { _ = s.Config.Shutdown(context.Background()) },
		},
		"server closed": {
			sent: request("/large", ""), responses: 1,
			closeServer: func(s *closingServer) { _ = s.Config.Close() },
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newClosingServer(t, test.options...)
			conn := s.dialSlow(t, test.sent)
			if test.closeServer != nil {
				s.awaitIdle(t)
				test.closeServer(s)
			}
			receive(t, s.closed)
			_, _ = io.WriteString(conn, request("/further", ""))
			reader := bufio.NewReaderSize(conn, 4<<10)
			for range test.responses {
				c.Assert(readLarge(reader), qt.IsNil)
			}
			_, err := io.Copy(io.Discard, reader)
			if name == "reset" {
				c.Assert(err, qt.IsNotNil, qt.Commentf("the end of the connection looks orderly"))
			}
		})
	}
}

// awaitIdle waits until the connection is between two requests for net/http.
func (s *closingServer) awaitIdle(t *testing.T) {
	t.Helper()
	awaiter.New(time.Millisecond).Await(t, 5*time.Second, "the connection is idle", func() bool { return s.idle.Load() })
}
