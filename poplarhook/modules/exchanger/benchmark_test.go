package exchanger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/modules/exchanger"
)

// BenchmarkReusedExchange measures consecutive exchanges over one reused connection.
func BenchmarkReusedExchange(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(b, err, quicktest.IsNil)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request := make([]byte, 4096)
		for {
			if _, err := conn.Read(request); err != nil {
				return
			}
			if _, err := io.WriteString(conn, okAnswer); err != nil {
				return
			}
		}
	}()
	e := exchanger.New(listener.Addr().String())
	request, err := http.NewRequest(http.MethodGet, "http://endpoint/stock", nil)
	quicktest.Assert(b, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		response, err := e.Exchange(ctx, request, time.Minute, time.Time{}, false)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}
