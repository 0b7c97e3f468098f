package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// troubleLength is how long both disruptions last each time, troublePeriod the time between their starts.
	troubleLength = 5 * time.Second
	troublePeriod = 10 * time.Second
	// extraShare is the share of the answers to health checks of which a second copy comes.
	extraShare = 0.03
)

// isTroubled reports whether the disruptions last at the time, counted from the start of the run: from 5 s to 10 s, from
// 15 s to 20 s, and so on.
func isTroubled(at time.Duration) bool {
	return at%troublePeriod >= troublePeriod-troubleLength
}

// runStray shows what clients get when a server that says it is ill, and is well, sends second copies of some answers
// late.
//
// Seven servers stand in two regions, one of them alone in the region west. The route of the orders may be served in
// west only. For five seconds at a time, that server answers its health checks with 503 although it works (one of seven
// servers), and a second copy of 3 in 100 of these answers comes late, at the point where the next answer on the
// connection is expected.
func runStray(c *run) (bool, error) {
	st, err := startStore()
	if err != nil {
		return false, err
	}
	p, err := freePorts()
	if err != nil {
		return false, err
	}
	regions := map[string]string{"west-1": "west", "east-1": "east", "east-2": "east"}
	var servers []*server
	for i, zone := range []string{"west-1", "east-1", "east-1", "east-1", "east-2", "east-2", "east-2"} {
		s, err := c.startServer("i-"+newID(), "orders", zone, 4, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i == 0 && c.trouble {
			s.ill = func() bool { return isTroubled(time.Since(c.started)) }
			s.extraCopy = func() bool { return isTroubled(time.Since(c.started)) && rand.Float64() < extraShare }
		}
		s.register(st)
		servers = append(servers, s)
	}
	st.putConfiguration(3, []route{
		{name: "orders", host: "orders.example", prefix: "/orders/", kind: "unsafe", service: "orders", timeoutMS: 1200, targetMS: 250, priority: 1, maxAttempts: 2, regions: []string{"west"}},
		{name: "east", host: "orders.example", prefix: "/east/", kind: "unsafe", service: "orders", timeoutMS: 1200, targetMS: 250, priority: 1, maxAttempts: 2, regions: []string{"east"}},
	}, []string{"orders"}, 7.1, 1<<20)
	for i, at := range []place{{"west-1", "west"}, {"west-1", "west"}, {"east-1", "east"}} {
		if _, err := c.startGateway(i, at, regions, p, st.address, nil); err != nil {
			return false, err
		}
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	replies := c.drive(6, 40*time.Second, 50*time.Millisecond, "/orders/1")
	counts := make(map[int]int)
	broken := 0
	for _, got := range replies {
		counts[got.status]++
		ran := 0
		for _, s := range servers {
			ran += s.ranTimes(got.id)
		}
		if ran > 1 {
			c.record("BROKEN: %s ran %d times", got.id, ran)
			broken++
		}
		if isPromise(got.status) && ran > 0 {
			c.record("BROKEN: %s got %d, which promises that it has not run, and ran", got.id, got.status)
			broken++
		}
	}
	c.record("statuses: %v (0: no answer); %d requests with a broken promise", counts, broken)
	return broken > 0, nil
}

// isPromise reports whether the status promises that the request has not run.
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// drive lets clients send unsafe requests, evenly to all gateways, and returns all replies.
func (c *run) drive(clients int, length, pause time.Duration, path string) []reply {
	var mu sync.Mutex
	var all []reply
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range clients {
		group.Go(func() {
			k := c.newClient(c.gateways[i%len(c.gateways)].front)
			for time.Now().Before(end) {
				got := k.send("POST", "orders.example", path, []byte("one order"), 1200*time.Millisecond)
				mu.Lock()
				all = append(all, got)
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	group.Wait()
	// Requests that servers still work on end within their time.
	time.Sleep(1500 * time.Millisecond)
	return all
}
