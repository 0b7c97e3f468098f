package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	mapHost, mapPrefix   = "kowhai3.example", "/tui220/"
	herdHost, herdPrefix = "kowhai3.example", "/weka81/"

	// lostDuration is how long the clients send.
	lostDuration = 25 * time.Second
	// lookupsBehind is how many lookups are sent behind a download before it is answered.
	lookupsBehind = 4
	// breakTime is how long the servers are faulty, from the start of each breakInterval on.
	breakTime     = 5 * time.Second
	breakInterval = 10 * time.Second
	// breakEach is how many answers of a faulty server one is broken off of: 0.02, the dose of garble.
	breakEach = 50
	// archiveBytes is the size of a download.
	archiveBytes = 256 << 10
	// allowedLost is how many requests the rule allows to be lost.
	allowedLost = 3
)

// archive is a server of downloads. A faulty one breaks off each breakEach-th of its answers halfway, at the times for it.
type archive struct {
	*server
	faulty  bool
	started time.Time
	count   atomic.Int64
	broken  *atomic.Int64
}

// ServeHTTP serves health checks and downloads.
func (a *archive) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.Header.Get("Expect-Instance") != a.id {
		a.server.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("Request-Id")
	a.waiting.Add(1)
	a.slot <- struct{}{}
	a.waiting.Add(-1)
	a.running.Add(1)
	defer func() {
		a.running.Add(-1)
		<-a.slot
	}()
	a.runs.add(run{at: time.Now(), id: id, server: a.id, method: r.Method, path: r.RequestURI})
	time.Sleep(a.work)
	breaks := a.faulty && time.Since(a.started)%breakInterval < breakTime && a.count.Add(1)%breakEach == 0
	a.setLoad(w.Header())
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "sig."+a.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(archiveBytes))
	piece := make([]byte, 16<<10)
	for sent := 0; sent < archiveBytes; sent += len(piece) {
		if breaks && sent >= archiveBytes/2 {
			a.broken.Add(1)
			a.rec.add("server %s breaks off its answer to %s after %d bytes", a.id, id, sent)
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// playLost lets clients send lookups behind downloads on kept connections. In the trouble half of the servers of downloads
// break off 0.02 of their answers. Lookups that were passed on to their sound servers must be answered.
func playLost(d *deployment, trouble bool) (string, error) {
	d.store.put("config", "main", configuration(7, []route{
		{"r-map", mapHost, mapPrefix, "download", "mapvault", 5000}, {"r-herd", herdHost, herdPrefix, "safe", "herdbook", 3000},
	}, []string{"mapvault", "herdbook"}, nil))
	if err := d.addServers("herdbook", 9, 4, 40*time.Millisecond); err != nil {
		return "", err
	}
	var broken atomic.Int64
	for i := range 6 {
		s := &server{id: fmt.Sprintf("i-mapvault%02d", i), service: "mapvault", zone: zoneNames[i%len(zoneNames)], slots: 4, work: 60 * time.Millisecond, rec: d.rec, runs: d.runs}
		if err := s.listenWith(&archive{server: s, faulty: trouble && i < 3, started: time.Now(), broken: &broken}); err != nil {
			return "", err
		}
		d.store.put("servers", s.id, s.entry(1))
	}
	if err := d.startGateways(); err != nil {
		return "", err
	}
	var clients sync.WaitGroup
	var lost, served, rounds atomic.Int64
	end := time.Now().Add(lostDuration)
	for i := range 12 {
		clients.Go(func() {
			g := d.gateways[i%len(d.gateways)]
			for n := 0; time.Now().Before(end); n++ {
				c := &lostClient{name: fmt.Sprintf("c%02d-%d", i, n), deployment: d, gateway: g}
				c.play(end)
				lost.Add(int64(len(c.lost)))
				served.Add(int64(c.served))
				rounds.Add(int64(c.rounds))
			}
		})
	}
	clients.Wait()
	d.rec.add("%d rounds, %d answers to lookups, %d answers broken off by servers, %d lookups passed on and lost", rounds.Load(), served.Load(), broken.Load(), lost.Load())
	if served.Load() < 100 {
		return "", fmt.Errorf("%w: only %d lookups were answered", errNotPlayed, served.Load())
	}
	if lost.Load() > allowedLost {
		return fmt.Sprintf("LOST: %d lookups of kept connections were passed on to sound servers, and their connections closed without an answer (%d answers were broken off, of %d downloads)", lost.Load(), broken.Load(), rounds.Load()), nil
	}
	return "", nil
}

// lostClient is one kept connection.
type lostClient struct {
	name       string
	deployment *deployment
	gateway    *gateway
	lost       []string
	served     int
	rounds     int
}

// play sends until the end or until the connection is closed.
func (c *lostClient) play(end time.Time) {
	conn, err := dial(c.gateway)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; time.Now().Before(end); n++ {
		_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
		c.rounds++
		sent := c.requests(n)
		text := ""
		for _, r := range sent {
			text += r.text()
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		for i, r := range sent {
			if a := readAnswer(reader); a.err != nil {
				c.recordLost(r, sent[i:], n, a.err)
				return
			}
			if i > 0 {
				c.served++
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// requests returns a download and the lookups that are sent behind it. The first round is a single lookup, after which the
// connection is a kept one.
func (c *lostClient) requests(round int) []request {
	id := func(i int) string { return fmt.Sprintf("%s-%d-%d", c.name, round, i) }
	lookup := func(i int) request {
		return request{method: "GET", host: herdHost, path: herdPrefix + "5a", id: id(i), deadlineMS: 3000}
	}
	if round == 0 {
		return []request{lookup(0)}
	}
	sent := []request{{method: "GET", host: mapHost, path: mapPrefix + "77", id: id(0), deadlineMS: 5000}}
	for i := range lookupsBehind {
		sent = append(sent, lookup(i+1))
	}
	return sent
}

// recordLost records the requests that were sent on a connection which was closed before they were answered.
func (c *lostClient) recordLost(broken request, unanswered []request, round int, err error) {
	// What was passed on at the moment of the close reaches its server.
	time.Sleep(300 * time.Millisecond)
	c.deployment.rec.add("connection %s of client to %s ends in round %d at the answer to %s: %v", c.name, c.gateway.name, round, broken.id, err)
	for _, r := range unanswered {
		ran := c.deployment.runs.of(r.id)
		c.deployment.rec.add("  %s is not answered; it ran %d times", r.id, len(ran))
		if r.id != broken.id && len(ran) > 0 {
			c.lost = append(c.lost, r.id)
		}
	}
}
