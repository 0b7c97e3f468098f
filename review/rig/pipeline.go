package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// graceS and lossSlack are grace_s and loss_slack_ms of sites/brandstaetter-gateway.toml.
	graceS    = 6 * time.Second
	lossSlack = 200 * time.Millisecond
	// drainTime is after how long the balancer has taken a machine out that is no longer ready: two questions a second
	// apart.
	drainTime = 2 * time.Second
)

// runPipeline stops a machine with SIGTERM while clients send two safe requests at a time on their kept connections, the
// second one before the answer to the first.
func runPipeline(c *run) (bool, error) {
	st, err := startStore()
	if err != nil {
		return false, err
	}
	p, err := freePorts()
	if err != nil {
		return false, err
	}
	regions := map[string]string{"west-1": "west"}
	for range 6 {
		s, err := c.startServer("i-"+newID(), "status", "west-1", 8, 400*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.register(st)
	}
	st.putConfiguration(3, []route{
		{name: "status", host: "orders.example", prefix: "/status/", kind: "safe", service: "status", timeoutMS: 3000, targetMS: 1200, priority: 0, maxAttempts: 2},
	}, []string{"status"}, 7.1, 1<<20)
	g, err := c.startGateway(0, place{"west-1", "west"}, regions, p, st.address, nil)
	if err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	stopAt := time.Now().Add(4 * time.Second)
	var group sync.WaitGroup
	var mu sync.Mutex
	var sent, lost int
	for range 12 {
		group.Go(func() {
			for time.Now().Before(stopAt.Add(drainTime)) {
				pairs, unanswered := c.sendPairs(g.front, stopAt)
				mu.Lock()
				sent += 2 * pairs
				lost += unanswered
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	if c.trouble {
		c.record("platform: SIGTERM to %s", g.id)
		g.signal(syscall.SIGTERM)
	}
	group.Wait()
	if c.trouble {
		select {
		case <-g.ended:
		case <-time.After(time.Until(stopAt.Add(graceS))):
			c.record("platform: SIGKILL after grace_s")
		}
	}
	c.record("%d requests; %d were read and got no answer, on a connection that was closed later than loss_slack_ms after their last byte", sent, lost)
	return lost > 0, nil
}

// sendPairs opens a connection and sends pairs of requests on it, until it is closed or the test ends. It returns how
// many pairs it sent and how many requests the process read and left without an answer.
//
// A connection that the process closes without having read all that came in is reset by the system. So a request on a
// connection that ends without a reset was read.
func (c *run) sendPairs(front string, stopAt time.Time) (pairs, lost int) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return 0, 0
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for time.Now().Before(stopAt.Add(drainTime)) {
		time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
		ids := []string{newID(), newID()}
		var text strings.Builder
		for _, id := range ids {
			fmt.Fprintf(&text, "GET /status/1 HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n\r\n", id)
		}
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := io.WriteString(conn, text.String()); err != nil {
			c.record("client: the connection was closed before requests %v were sent: %v", ids, err)
			return pairs, lost
		}
		sentAt := time.Now()
		c.record("client: sends requests %v at once", ids)
		pairs++
		closing := false
		for _, id := range ids {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				after := time.Since(sentAt)
				c.record("client: no answer to %s, the connection ended %v after it was sent: %v", id, after, err)
				if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
					if after > lossSlack {
						c.record("BROKEN: %s was read and got no answer", id)
						lost++
					}
				}
				return pairs, lost
			}
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			c.record("client: answer %d to %s, connection closes: %v, error: %v", response.StatusCode, id, response.Close, err)
			closing = closing || response.Close
		}
		if closing {
			return pairs, lost
		}
	}
	return pairs, lost
}
