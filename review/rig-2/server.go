package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// Server is a stand-in of a server: it processes as many requests at a time as it has slots, queues some more, rejects
// the rest as not executed, and writes its entry to the store.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// AnswerBytes is the size of the answers.
	AnswerBytes int
	// Answer writes the body of an answer in place of AnswerBytes.
	Answer http.HandlerFunc

	store    *Store
	listener net.Listener
	born     int64
	slots    chan struct{}
	stop     chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	state   string
	leaving bool
	seq     int
	// onRun is called when a request begins to run.
	onRun func(r *http.Request)
}

// Start starts the server on a free loopback port and registers it.
func (s *Server) Start(store *Store, onRun func(r *http.Request)) {
	var err error
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.store, s.onRun, s.state, s.born = store, onRun, "ready", time.Now().UnixMilli()
	s.slots, s.stop = make(chan struct{}, s.Slots), make(chan struct{})
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 10 * time.Second}).Serve(s.listener) }()
	s.beat()
	go func() {
		for {
			select {
			case <-s.stop:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
}

// beat writes the server's entry.
func (s *Server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	s.store.Put("servers", s.ID, map[string]any{
		"service": s.Service, "address": s.listener.Addr().String(), "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": s.state, "warmup_left_ms": 0, "seq": s.seq, "born": s.born,
	})
}

// Drain reports that the server is draining. It goes on to serve.
func (s *Server) Drain() {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.beat()
}

func (s *Server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", s.running, s.waiting, s.Slots)
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || s.state == "draining"
}

// ServeHTTP answers a health check or a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Server-Load", s.load())
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.ID)
		if s.isLeaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !s.enter(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.onRun(r)
	timer := time.NewTimer(s.Work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	s.leave()
	w.Header().Set("Server-Load", s.load())
	w.Header().Set("Response-Signature", "signed."+s.ID+"."+id)
	if s.Answer != nil {
		s.Answer(w, r)
		return
	}
	body := make([]byte, max(s.AnswerBytes, 20))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// enter waits for a slot and reports whether the request got one.
func (s *Server) enter(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= 4*s.Slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	entered := false
	select {
	case s.slots <- struct{}{}:
		entered = true
	case <-r.Context().Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if entered {
		s.running++
	}
	return entered
}

func (s *Server) leave() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slots
}
