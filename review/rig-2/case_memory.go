package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowd       = 260
	crowdPeriod = 16 * time.Second
	// downloadBytes is less than the mean size of the downloads in the users' sheet.
	downloadBytes = 60000
	downloads     = 100
	// machineMB is the memory of the machine, in megabytes, lowered so that a small crowd suffices.
	machineMB = 128
)

// archive serves downloads of the size in the query.
func archive(w http.ResponseWriter, r *http.Request) {
	_, text, _ := strings.Cut(r.URL.RawQuery, "size=")
	size, _ := strconv.Atoi(text)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}

// playMemory lets a crowd of clients ask for downloads, several of them before the first answer, and stop reading.
func playMemory(dir string, r *Record, trouble bool) int {
	store := NewStore(r)
	config := sheetConfig(11, nil)
	delete(config, "tenants")
	rows := config["routes"].(map[string]any)["rows"].([][]any)
	config["routes"].(map[string]any)["rows"] = append(rows, []any{"map-archive", "orders.example", "/archive/", "download", 4000, 1200, 2, "orders", 2, []string{}, nil})
	store.Put("config", "main", config)
	var runs atomic.Int64
	for i := range 12 {
		s := &Server{ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: "orders", Zone: sheetZones[i%6], Slots: 8, Work: 5 * time.Millisecond, Answer: archive}
		s.Start(store, func(q *http.Request) {
			runs.Add(1)
			r.Line("run %s at %s", q.Header.Get("Request-Id"), s.ID)
		})
	}
	f := &Fleet{dir: dir, store: store, bounds: sheetBounds(), memoryMB: machineMB, regions: sheetRegions, record: r}
	f.bounds["strict_revoke"] = false
	defer f.StopAll()
	for i := range 3 {
		f.Start(f.Add(fmt.Sprintf("front-%s-%d", sheetZones[i%6], i/6+1), sheetZones[i%6]))
	}
	if !AwaitReady(15*time.Second, f.gateways...) {
		r.Line("the gateways did not become ready")
		return unready
	}
	g := f.gateways[0]
	time.Sleep(time.Second)
	ordinary := func() Answer {
		a := NewClient().Send(g.Front, Request{Method: http.MethodGet, Host: "orders.example", Path: "/archive/2f?size=20000", Budget: 3 * time.Second})
		r.Line("ordinary request %s to %s: status %d, %d bytes %s", a.ID, g.Name, a.Status, len(a.Body), a.Problem)
		return a
	}
	if ordinary().Status != http.StatusOK {
		return unready
	}
	r.Line("memory of %s before: %d MB", g.Name, g.memory("RssAnon")*1024/1000000)
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for i := range crowd {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * crowdPeriod / crowd)
			crowdClient(g.Front, trouble, stop, r)
		})
	}
	most := 0
	for begin := time.Now(); time.Since(begin) < crowdPeriod+8*time.Second; time.Sleep(50 * time.Millisecond) {
		if !g.Alive() {
			r.Line("the process has ended")
			break
		}
		if m := g.memory("RssAnon") * 1024 / 1000000; m > most {
			most = m
			r.Line("memory of %s: %d MB, %d requests ran", g.Name, m, runs.Load())
		}
	}
	after := ordinary()
	close(stop)
	wait.Wait()
	r.Line("most memory: %d MB of %d MB; alive: %t", most, machineMB, g.Alive())
	fmt.Printf("most %d MB of %d, runs %d, ordinary %d\n", most, machineMB, runs.Load(), after.Status)
	if most > machineMB || !g.Alive() {
		return broken
	}
	return held
}

// crowdClient sends downloads one behind the other. With trouble it reads nothing, as a client whose link has broken, and
// otherwise it reads all answers.
func crowdClient(address string, trouble bool, stop chan struct{}, r *Record) {
	conn, err := (&net.Dialer{Timeout: 2 * time.Second}).Dial("tcp", address)
	if err != nil {
		r.Line("client could not connect: %v", err)
		return
	}
	defer conn.Close()
	if trouble {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
	} else {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	for range downloads {
		id := requestCount.Add(1)
		if _, err := fmt.Fprintf(conn, "GET /archive/2f?size=%d HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %016x\r\nDeadline-Ms: 5000\r\n\r\n", downloadBytes, id); err != nil {
			return
		}
		r.Line("sent %016x, a download of %d bytes", id, downloadBytes)
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case <-stop:
	case <-time.After(time.Minute):
	}
}
