package abuse

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/platform/imitator"
)

const (
	// endlessClients is how many clients send requests while an endpoint answers without end.
	endlessClients = 150
	// endlessRequests is how many requests each client sends at once on its connection.
	endlessRequests = 8
	// endlessReadLimit is how much a client reads before it closes its connection.
	endlessReadLimit = 4 << 20
	// endlessReadTime is for how long it reads at most.
	endlessReadTime = 3 * time.Second
)

// Other operators saw a host run out of memory, and the requests of all its callers end, because an endpoint sent bytes
// without end in a head or a body.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, fault := range map[string]imitator.Fault{
		"head": imitator.EndlessHead, "body": imitator.EndlessBody, "health check": imitator.EndlessHealth,
	} {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, clients read %t", name, reads), func(t *testing.T) {
				env := newEnvironment(t, smallHost)
				env.endpoints[0].SetBehavior(time.Millisecond, fault)
				env.sendAll(endlessClients, func(conn net.Conn) error {
					for i := range endlessRequests {
						if _, err := fmt.Fprintf(conn, "GET /lookup/%d HTTP/1.1\r\nHost: %s\r\n\r\n", i, shopHost); err != nil {
							return err
						}
					}
					if !reads {
						return nil
					}
					defer conn.Close()
					_ = conn.SetReadDeadline(time.Now().Add(endlessReadTime))
					_, err := io.CopyN(io.Discard, conn, endlessReadLimit)
					return err
				})
				env.check()
				reached := len(env.endpoints[0].Runs())
				if fault == imitator.EndlessHealth {
					reached = env.endpoints[0].Received()
				}
				qt.Check(t, reached > 0, qt.IsTrue, qt.Commentf("no answer without end was sent"))
			})
		}
	}
}
