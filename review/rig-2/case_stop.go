package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopClients = 20
	// linkPiece bytes every linkPause is a client's link of 26 Mbit/s.
	linkPiece = 16 << 10
	linkPause = 5 * time.Millisecond
)

// slowLink reads at the speed of the client's link and counts what was read.
type slowLink struct {
	conn net.Conn
	read int
	// onRead is called with the number of bytes read so far.
	onRead func(n int)
}

// Read reads one piece.
func (s *slowLink) Read(p []byte) (int, error) {
	time.Sleep(linkPause)
	n, err := s.conn.Read(p[:min(len(p), linkPiece)])
	s.read += n
	s.onRead(s.read)
	return n, err
}

// archive serves downloads of the size in the query.
func archive(w http.ResponseWriter, r *http.Request) {
	_, text, _ := strings.Cut(r.URL.RawQuery, "size=")
	size, _ := strconv.Atoi(text)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size))
}

// playStop stops one machine in order while clients have several downloads under way on each connection.
func playStop(dir string, r *Record, trouble bool) int {
	store := NewStore(r)
	config := sheetConfig(11, nil)
	delete(config, "tenants")
	rows := config["routes"].(map[string]any)["rows"].([][]any)
	config["routes"].(map[string]any)["rows"] = append(rows, []any{"map-archive", "orders.example", "/archive/", "download", 4000, 1200, 2, "orders", 2, []string{}, nil})
	store.Put("config", "main", config)
	var mu sync.Mutex
	runs := map[string]bool{}
	for i := range 12 {
		s := &Server{ID: fmt.Sprintf("i-%08x", 0x7f3a9100+i), Service: "orders", Zone: sheetZones[i%6], Slots: 8, Work: 20 * time.Millisecond, Answer: archive}
		s.Start(store, func(q *http.Request) {
			mu.Lock()
			runs[q.Header.Get("Request-Id")] = true
			mu.Unlock()
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
	g := f.gateways[0]
	time.Sleep(5 * time.Second)
	var wait, warm sync.WaitGroup
	stopped := make(chan struct{})
	complete, lost, notRun := 0, 0, 0
	for range stopClients {
		warm.Add(1)
		wait.Go(func() {
			for id, outcome := range pipeline(g.Front, &warm, stopped, r) {
				mu.Lock()
				switch ran := runs[id]; {
				case outcome == "":
					complete++
				case ran:
					lost++
					r.Line("%s was run by a server and has no complete answer: %s", id, outcome)
				default:
					notRun++
				}
				mu.Unlock()
			}
		})
	}
	warm.Wait()
	if trouble {
		r.Line("SIGTERM to %s", g.Name)
		_ = g.process.Process.Signal(syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	close(stopped)
	wait.Wait()
	r.Line("requests with a complete answer: %d; run and not answered: %d; not run and not answered: %d", complete, lost, notRun)
	fmt.Printf("complete %d lost %d not run %d\n", complete, lost, notRun)
	if complete+lost < stopClients {
		return unready
	}
	if lost > 0 {
		return broken
	}
	return held
}

// pipeline sends two downloads on a kept connection and a third one while it reads the first. It returns for each of the
// first two how its answer ended, empty if it is complete.
func pipeline(address string, warm *sync.WaitGroup, start chan struct{}, r *Record) map[string]string {
	conn, err := net.Dial("tcp", address)
	check(err)
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	send := func(size int) string {
		id := fmt.Sprintf("%016x", requestCount.Add(1))
		_, err := fmt.Fprintf(conn, "GET /archive/2f?size=%d HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", size, id)
		r.Line("sent %s, a download of %d bytes: %v", id, size, err)
		return id
	}
	link := &slowLink{conn: conn, onRead: func(int) {}}
	in := bufio.NewReaderSize(link, linkPiece)
	receive := func() (closes bool, err error) {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return false, err
		}
		n, err := io.Copy(io.Discard, response.Body)
		if err == nil && n != response.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return response.Close, err
	}
	send(1000)
	if _, err := receive(); err != nil {
		panic(err)
	}
	warm.Done()
	<-start
	began := time.Now()
	ids := []string{send(largestDownload), send(largestDownload)}
	third := sync.OnceFunc(func() { send(1000) })
	before := link.read
	link.onRead = func(n int) {
		if n-before > largestDownload/2 {
			third()
		}
	}
	ended := map[string]string{}
	for _, id := range ids {
		closes, err := receive()
		ended[id] = ""
		if err != nil {
			ended[id] = err.Error()
		}
		r.Line("answer to %s: complete %t, %.3f s after it was sent, closes the connection: %t", id, err == nil, time.Since(began).Seconds(), closes)
	}
	return ended
}

// largestDownload is the size of the largest download in the site file.
const largestDownload = 540000
