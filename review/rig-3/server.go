package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request at a server.
type run struct {
	at       time.Time
	id       string
	server   string
	method   string
	path     string
	bodySize int64
}

// runs collects the executions at all servers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

// of returns the executions of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, one := range r.all {
		if one.id == id {
			found = append(found, one)
		}
	}
	return found
}

// server is a sound stand-in of a server: it checks Expect-Instance, runs as many requests at once as it has slots, and
// tells its load.
type server struct {
	id      string
	service string
	zone    string
	slots   int
	work    time.Duration
	rec     *record
	runs    *runs

	address  string
	listener net.Listener
	running  atomic.Int64
	waiting  atomic.Int64
	slot     chan struct{}
	// answerBytes is the least size of an answer.
	answerBytes int
}

// listen opens the server's port and serves.
func (s *server) listen() error { return s.listenWith(s) }

// listenWith opens the server's port and serves with the handler.
func (s *server) listenWith(handler http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.address, s.slot = l, l.Addr().String(), make(chan struct{}, s.slots)
	go func() { _ = (&http.Server{Handler: handler, IdleTimeout: 10 * time.Second}).Serve(l) }()
	return nil
}

// entry returns what the server writes into the store.
func (s *server) entry(seq int) map[string]any {
	return map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": seq}
}

func (s *server) setLoad(h http.Header) {
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
}

// ServeHTTP serves health checks and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		s.setLoad(w.Header())
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Del("Instance-Id")
	w.Header().Set("Request-Id", id)
	s.waiting.Add(1)
	s.slot <- struct{}{}
	s.waiting.Add(-1)
	s.running.Add(1)
	body, _ := io.Copy(io.Discard, r.Body)
	s.rec.add("server %s runs %s: %s %s, body of %d bytes", s.id, id, r.Method, r.RequestURI, body)
	s.runs.add(run{at: time.Now(), id: id, server: s.id, method: r.Method, path: r.RequestURI, bodySize: body})
	time.Sleep(s.work)
	s.running.Add(-1)
	<-s.slot
	s.setLoad(w.Header())
	w.Header().Set("Response-Signature", "sig."+s.id+"."+id)
	answer := []byte("answer of " + s.id + " to " + id)
	if missing := s.answerBytes - len(answer); missing > 0 {
		answer = append(answer, make([]byte, missing)...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}
