package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is memory_mb of the machines of sites/brandstaetter-gateway.toml.
	memoryLimitMB = 284
	// maxBodyBytes is max_body_bytes of the configuration that fleetbench wire shows for that site.
	maxBodyBytes = 67108864
	// uploads is the number of clients that send a large body at the same time, uploadBytes its size.
	uploads     = 3
	uploadBytes = 40_000_000
)

// anonymousMB returns the memory of the process without the pages of its program file.
func anonymousMB(pid int) (int, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, err := strconv.Atoi(fields[1])
			return kb / 1024, err == nil
		}
	}
	return 0, false
}

// enforceMemory kills the process once it has more memory than the limit, as the platform does. It returns the highest
// value that it has seen.
func (c *run) enforceMemory(g *gateway, stop <-chan struct{}, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		mb, known := anonymousMB(g.command.Process.Pid)
		if !known || !g.isRunning() {
			continue
		}
		peak.Store(max(peak.Load(), int64(mb)))
		if mb > memoryLimitMB {
			c.record("platform: process of %s has %d MB, more than memory_mb = %d: killed", g.id, mb, memoryLimitMB)
			g.signal(syscall.SIGKILL)
			<-g.ended
			return
		}
	}
}

// runUpload shows what happens to the requests of other clients when three clients send large bodies that the limits of
// the configuration allow.
func runUpload(c *run) (bool, error) {
	st, err := startStore()
	if err != nil {
		return false, err
	}
	p, err := freePorts()
	if err != nil {
		return false, err
	}
	regions := map[string]string{"west-1": "west"}
	var servers []*server
	for range 8 {
		s, err := c.startServer("i-"+newID(), "orders", "west-1", 4, 150*time.Millisecond)
		if err != nil {
			return false, err
		}
		s.register(st)
		servers = append(servers, s)
	}
	st.putConfiguration(3, []route{
		{name: "orders", host: "orders.example", prefix: "/orders/", kind: "unsafe", service: "orders", timeoutMS: 3000, targetMS: 800, priority: 1, maxAttempts: 2},
	}, []string{"orders"}, 7.1, maxBodyBytes)
	g, err := c.startGateway(0, place{"west-1", "west"}, regions, p, st.address, nil)
	if err != nil {
		return false, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var peak atomic.Int64
	go c.enforceMemory(g, stop, &peak)
	var group sync.WaitGroup
	var mu sync.Mutex
	var all []reply
	end := time.Now().Add(12 * time.Second)
	for range 24 {
		group.Go(func() {
			k := c.newClient(g.front)
			for time.Now().Before(end) && g.isRunning() {
				got := k.send("POST", "orders.example", "/orders/1", []byte("one order"), 3*time.Second)
				mu.Lock()
				all = append(all, got)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	size := uploadBytes
	if !c.trouble {
		size = 4_000
	}
	payload := make([]byte, size)
	var sent []reply
	for range uploads {
		group.Go(func() {
			got := c.newClient(g.front).send("POST", "orders.example", "/orders/large", payload, 3*time.Second)
			mu.Lock()
			sent = append(sent, got)
			mu.Unlock()
		})
	}
	group.Wait()
	close(stop)
	time.Sleep(200 * time.Millisecond)
	lost := 0
	for _, got := range all {
		ran := 0
		for _, s := range servers {
			ran += s.ranTimes(got.id)
		}
		if got.err != nil && ran > 0 {
			c.record("BROKEN: %s was passed on to a server and got no answer: %v", got.id, got.err)
			lost++
		}
	}
	for _, got := range sent {
		c.record("upload of %d bytes, %s: status %d, error %v", size, got.id, got.status, got.err)
	}
	c.record("peak memory of the process %d MB; %d requests; %d passed on and closed without an answer; process still runs: %v", peak.Load(), len(all), lost, g.isRunning())
	return lost > 3, nil
}
