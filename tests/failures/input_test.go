package failures_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/outcome"
	"poplarhook.example/tests/deployment"
	"poplarhook.example/tests/fleet"
)

// badRequestMarker is part of every bad request, so that the test can search for it in what endpoints received.
const badRequestMarker = "bad-request-mark"

// A malformed request gets an error status and reaches no endpoint, and the entry host keeps serving other requests.
func TestBadInputIsRefusedAndReachesNoEndpoint(t *testing.T) {
	running := startFleet(t, oneRegionDeployment(deployment.Service{Name: "allocation", Servers: 2}), fleet.WithEntries(1),
		fleet.WithEndpointArguments("--record"), fleet.WithEntryArguments("--read-timeout", "1s"))
	address := running.EntryAddresses()[0]
	l := startLoad(t, running, 50, running.EntryAddresses(), newOrderEntry())
	const head = "POST /allocations HTTP/1.1\r\nHost: a\r\nX-Marker: " + badRequestMarker + "\r\n"
	cases := []struct {
		name    string
		message string
		status  []int
	}{
		{"malformed request line", "POST /allocations" + badRequestMarker + "\r\n\r\n", []int{400}},
		{"malformed header", head + "No colon\r\n\r\n", []int{400}},
		{"space before the colon", head + "Content-Length : 3\r\n\r\nabc", []int{400}},
		{"both lengths", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []int{400}},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", []int{400}},
		{"unknown coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", []int{400, 501}},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", []int{400}},
		{"negative length", head + "Content-Length: -1\r\n\r\n", []int{400}},
		{"no host", "POST /allocations HTTP/1.1\r\nX-Marker: " + badRequestMarker + "\r\nContent-Length: 0\r\n\r\n", []int{400}},
		{"oversized head", head + "X-Large: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", []int{431}},
		{"oversized body", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 64<<20), []int{413}},
		{"slow body", head + "Content-Length: 100\r\n\r\nabc", []int{400, 408}},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			status := sendRaw(t, address, row.message)
			for _, allowed := range row.status {
				if status == allowed {
					return
				}
			}
			t.Errorf("status %d, allowed are %v", status, row.status)
		})
	}
	// An incomplete request head gets no successful answer: the host closes the connection, as no request has arrived.
	qt.Check(t, sendRaw(t, address, "POST /allocations HTTP/1.1\r\nX-Marker: "+badRequestMarker) != http.StatusOK, qt.IsTrue)
	l.awaitServed(t, 50)
	f := l.end(t)
	f.checkInvariants(t)
	qt.Check(t, f.countOutcomes(outcome.Served), qt.Equals, len(f.outcomes))
	received, err := running.Get(t.Context(), "http://"+running.ControlAddresses()[0]+"/standin/received")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, strings.Contains(string(received), badRequestMarker), qt.IsFalse)
	qt.Check(t, strings.Contains(string(received), "/allocations"), qt.IsTrue)
}

// sendRaw sends the message unchanged and returns the status of the answer, or 0 if the host closes the connection
// without an answer.
func sendRaw(t *testing.T, address, message string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	qt.Assert(t, conn.SetDeadline(time.Now().Add(reactionTime)), qt.IsNil)
	// The host may close the connection before it has read the whole message, so a write error is ignored.
	_, _ = conn.Write([]byte(message))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("neither an answer nor a close"))
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
