package exchanger_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"poplarhook.example/poplarhook/modules/exchanger"
)

// FuzzExchange checks that no answer of an endpoint ends the process, leaves a connection open that is not idle, or is
// delivered with a body that is longer than what the endpoint sent.
func FuzzExchange(f *testing.F) {
	for _, head := range endlessHeads {
		f.Add([]byte(head.start + head.repeated))
	}
	f.Add([]byte(okAnswer + okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\nKeep-Alive: timeout=5\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		fake := startRawEndpoint(t, func(_ int, conn net.Conn, _ *http.Request) bool {
			_, _ = conn.Write(answer)
			return false
		})
		e := exchanger.New(fake.listener.Addr().String(), exchanger.WithCloseDelimited(), exchanger.WithTrailingBytes())
		defer e.Close()
		body, err := exchange(t, e, newRequest(t, http.MethodGet))
		if err == nil && len(body) > len(answer) {
			t.Fatalf("body of %d bytes from an answer of %d", len(body), len(answer))
		}
		for end := time.Now().Add(5 * time.Second); e.Counts().OpenNow > e.Counts().IdleNow; {
			if time.Now().After(end) {
				t.Fatalf("connections left: %+v", e.Counts())
			}
		}
	})
}
