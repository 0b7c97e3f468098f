package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in of one server of a service.
type server struct {
	run               *run
	id, service, zone string
	slots, queue      int
	work              time.Duration
	address           string
	born              int64
	// ill makes the health check answer 503 although the server works.
	ill func() bool
	// extraCopy decides for each answer to a health check whether a second copy of it comes late: right before the answer
	// to the next request on the connection.
	extraCopy func() bool

	mu               sync.Mutex
	running, waiting int
	// runs is how often each request ran.
	runs  map[string]int
	slot  chan struct{}
	state string
}

func (c *run) startServer(id, service, zone string, slots int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		run: c, id: id, service: service, zone: zone, slots: slots, queue: 2 * slots, work: work, address: l.Addr().String(),
		born: time.Now().UnixMilli(), runs: make(map[string]int), slot: make(chan struct{}, slots), state: "ready",
		ill: func() bool { return false }, extraCopy: func() bool { return false },
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// entry is what the server writes into the store.
func (s *server) entry(seq int) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"warmup_left_ms": 0, "seq": seq, "born": s.born,
	}
}

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1500 * time.Millisecond

// register writes the entry of the server, again at each heartbeat.
func (s *server) register(st *store) {
	st.put("servers", s.id, s.entry(1))
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(heartbeat)
			s.mu.Lock()
			e := s.entry(seq)
			s.mu.Unlock()
			st.put("servers", s.id, e)
		}
	}()
}

// load is the value of the Server-Load header.
func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.slots)
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	requests := make(chan *http.Request)
	gone := make(chan struct{})
	next := make(chan struct{})
	go func() {
		defer close(gone)
		reader := bufio.NewReaderSize(conn, 64<<10)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			n, err := io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			r.ContentLength = n
			select {
			case requests <- r:
			case <-next:
				return
			}
		}
	}()
	defer close(next)
	var late string
	for {
		var r *http.Request
		select {
		case r = <-requests:
		case <-gone:
			return
		}
		if late != "" {
			s.run.record("server %s: second copy of its answer to a health check, before the answer to %s %s", s.id, r.Method, describe(r))
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		text := s.answerTo(r, gone)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if r.URL.Path == "/health" && s.extraCopy() {
			late = text
		}
	}
}

func describe(r *http.Request) string {
	if id := r.Header.Get("Request-Id"); id != "" {
		return "request " + id
	}
	return "a health check"
}

const body = "the server's bytes"

// answerTo works on the request and returns the answer, empty if the caller has left.
func (s *server) answerTo(r *http.Request, gone <-chan struct{}) string {
	id := r.Header.Get("Request-Id")
	switch expected := r.Header.Get("Expect-Instance"); {
	case r.URL.Path == "/health" && s.ill():
		return head(503, "", "Instance-Id: "+s.id, "Server-Load: "+s.load(), "Content-Length: 0")
	case r.URL.Path == "/health":
		return head(200, "", "Instance-Id: "+s.id, "Server-Load: "+s.load(), "Content-Length: 0")
	case id == "":
		return head(400, "", "Not-Executed: 1", "Content-Length: 0")
	case expected != "" && expected != s.id:
		return head(421, id, "Instance-Id: "+s.id, "Content-Length: 0")
	}
	if !s.enter(gone) {
		return head(503, id, "Not-Executed: 1", "Server-Load: "+s.load(), "Content-Length: 0")
	}
	defer s.leave()
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.run.record("server %s: runs request %s, body of %d bytes", s.id, id, r.ContentLength)
	timer := time.NewTimer(s.work)
	defer timer.Stop()
	limit := deadlineOf(r)
	select {
	case <-timer.C:
	case <-gone:
		return ""
	case <-time.After(limit):
		return head(504, id, "Response-Signature: s."+s.id, "Content-Length: 0")
	}
	return head(200, id, "Response-Signature: s."+s.id+"."+id, "Server-Load: "+s.load(), "Content-Length: "+strconv.Itoa(len(body))) + body
}

func deadlineOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// enter waits for a slot, and reports false if the queue is full or the caller has left.
func (s *server) enter(gone <-chan struct{}) bool {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	entered := false
	select {
	case s.slot <- struct{}{}:
		entered = true
	case <-gone:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if entered {
		s.running++
	}
	return entered
}

func (s *server) leave() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slot
}

// ranTimes returns how often the request ran on the server.
func (s *server) ranTimes(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// head returns the head of an answer; the request id is left out if it is empty.
func head(status int, id string, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		text += "Request-Id: " + id + "\r\n"
	}
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}
