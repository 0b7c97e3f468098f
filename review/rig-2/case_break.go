package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	breakClients = 20
	// outstanding is how many downloads a client has under way on its connection.
	outstanding    = 3
	downloadLength = 300000
	// brokenShare of the answers of every third server are broken off, for breakPeriod at a time.
	brokenShare   = 0.02
	breakPeriod   = 5 * time.Second
	breakPause    = 5 * time.Second
	breakRepeats  = 4
	maxLostSounds = 3
)

// breaking is the state that the servers of this case share.
type breaking struct {
	mu     sync.Mutex
	active bool
	ran    map[string]bool
	broken map[string]bool
}

// playBreak lets some servers break off a few of their answers while clients have several downloads under way on each
// connection.
func playBreak(dir string, r *Record, trouble bool) int {
	store := NewStore(r)
	config := sheetConfig(11, nil)
	delete(config, "tenants")
	rows := config["routes"].(map[string]any)["rows"].([][]any)
	config["routes"].(map[string]any)["rows"] = append(rows, []any{"map-archive", "orders.example", "/archive/", "download", 4000, 1200, 2, "orders", 2, []string{}, nil})
	store.Put("config", "main", config)
	state := &breaking{ran: map[string]bool{}, broken: map[string]bool{}}
	for i := range 12 {
		s := &Server{ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: "orders", Zone: sheetZones[i%6], Slots: 8, Work: 20 * time.Millisecond}
		mayBreak := i%3 == 0
		s.Answer = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Request-Id")
			state.mu.Lock()
			breaks := mayBreak && state.active && rand.Float64() < brokenShare
			if breaks {
				state.broken[id] = true
			}
			state.mu.Unlock()
			if !breaks {
				archive(w, q)
				return
			}
			r.Line("%s breaks off its answer to %s", s.ID, id)
			w.Header().Set("Content-Length", fmt.Sprint(downloadLength))
			_, _ = w.Write(make([]byte, downloadLength*4/5))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		s.Start(store, func(q *http.Request) {
			state.mu.Lock()
			state.ran[q.Header.Get("Request-Id")] = true
			state.mu.Unlock()
			r.Line("run %s at %s", q.Header.Get("Request-Id"), s.ID)
		})
	}
	f := &Fleet{dir: dir, store: store, bounds: sheetBounds(), memoryMB: 404, regions: sheetRegions, record: r}
	f.bounds["strict_revoke"] = false
	defer f.StopAll()
	for i := range 3 {
		f.Start(f.Add(fmt.Sprintf("front-%s-%d", sheetZones[i%6], i/6+1), sheetZones[i%6]))
	}
	if !AwaitReady(15*time.Second, f.gateways...) {
		r.Line("the gateways did not become ready")
		return unready
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	complete, lost := 0, 0
	for i := range breakClients {
		g := f.gateways[i%len(f.gateways)]
		wait.Go(func() {
			for !isClosed(stop) {
				c, l := downloadOn(g.Front, state, stop, r)
				mu.Lock()
				complete, lost = complete+c, lost+l
				mu.Unlock()
			}
		})
	}
	for range breakRepeats {
		time.Sleep(breakPause)
		state.setActive(trouble)
		r.Line("servers break off answers: %t", trouble)
		time.Sleep(breakPeriod)
		state.setActive(false)
	}
	time.Sleep(breakPause)
	close(stop)
	wait.Wait()
	r.Line("complete answers: %d; broken off by servers: %d; run by a sound server, in front of those on their connections, and not answered completely: %d", complete, len(state.broken), lost)
	fmt.Printf("complete %d broken %d lost %d\n", complete, len(state.broken), lost)
	if complete < 500 {
		return unready
	}
	if lost > maxLostSounds {
		return broken
	}
	return held
}

func (b *breaking) setActive(active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active = active
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// downloadOn sends downloads on one connection until that ends or the case stops. It returns how many were answered and
// how many requests in front of the one that a server broke off were run and not answered completely.
func downloadOn(address string, state *breaking, stop chan struct{}, r *Record) (complete, lost int) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return 0, 0
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	var waiting []string
	send := func() {
		id := fmt.Sprintf("%016x", requestCount.Add(1))
		waiting = append(waiting, id)
		_, err := fmt.Fprintf(conn, "GET /archive/2f?size=%d HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", downloadLength, id)
		r.Line("sent %s: %v", id, err)
	}
	link := &slowLink{conn: conn, onRead: func(int) {}}
	in := bufio.NewReaderSize(link, linkPiece)
	for first := true; len(waiting) > 0 || first; first = false {
		for !isClosed(stop) && len(waiting) < outstanding {
			send()
		}
		if len(waiting) == 0 {
			break
		}
		response, err := http.ReadResponse(in, nil)
		if err == nil {
			var n int64
			n, err = io.Copy(io.Discard, response.Body)
			if err == nil && n != response.ContentLength {
				err = io.ErrUnexpectedEOF
			}
		}
		if err != nil {
			r.Line("answer to %s ended early: %v", waiting[0], err)
			return complete, lost + countSound(waiting, state, r)
		}
		r.Line("answer to %s: status %d", waiting[0], response.StatusCode)
		if response.StatusCode == http.StatusOK {
			complete++
		}
		waiting = waiting[1:]
		if response.Close {
			break
		}
	}
	return complete, lost
}

// countSound returns how many of the waiting requests stand before the one that a server broke off, and were run.
func countSound(waiting []string, state *breaking, r *Record) (n int) {
	state.mu.Lock()
	defer state.mu.Unlock()
	for _, id := range waiting {
		if state.broken[id] {
			return n
		}
		if state.ran[id] {
			r.Line("%s was run by a sound server and has no complete answer", id)
			n++
		}
	}
	return n
}
