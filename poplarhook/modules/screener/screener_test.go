package screener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/modules/screener"
)

// sendInSteps sends raw requests on one connection, a few bytes at a time, and returns the status codes of the answers.
func sendInSteps(t *testing.T, raw string, answers int) []int {
	t.Helper()
	server := httptest.NewUnstartedServer(screener.MarkAmbiguous(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if screener.IsAmbiguous(r.Context()) {
			w.WriteHeader(http.StatusBadRequest)
		}
	})))
	server.Config.ConnContext = screener.ConnContext
	server.Listener = screener.New(server.Listener)
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	const step = 7
	for rest := raw; rest != ""; {
		n := min(step, len(rest))
		_, err := io.WriteString(conn, rest[:n])
		qt.Assert(t, err, qt.IsNil)
		rest = rest[n:]
	}
	reader := bufio.NewReader(conn)
	var got []int
	for range answers {
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		got = append(got, response.StatusCode)
	}
	return got
}

// headerLines is part of a body that looks like an ambiguous header section.
const headerLines = "x\r\n\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestBodiesWithHeaderLinesAreNotAmbiguous(t *testing.T) {
	noBody := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	withLength := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 63\r\n\r\n" + headerLines + strings.Repeat("y", 63-len(headerLines))
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n36;a=b\r\n" + headerLines + "\r\n2\r\nab\r\n0\r\n\r\n"
	for name, raw := range map[string]string{"length": withLength, "chunks": chunked} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, sendInSteps(t, raw+noBody+raw+noBody, 4), qt.DeepEquals, []int{200, 200, 200, 200})
		})
	}
}

func TestTwoLengthsInOneHeaderAreDetectedAfterABody(t *testing.T) {
	valid := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 63\r\n\r\n" + headerLines + strings.Repeat("y", 63-len(headerLines))
	ambiguous := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	qt.Assert(t, sendInSteps(t, valid+ambiguous, 2), qt.DeepEquals, []int{200, 400})
}
