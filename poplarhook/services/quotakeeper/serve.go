package quotakeeper

import (
	"bufio"
	"net/http"
	"time"

	"poplarhook.example/poplarhook/models/token"
)

const (
	// readTimeout is how long a host may send nothing; its delegation has ended long before.
	readTimeout = 3 * time.Second
	// maxHostBytes bounds the id of a host.
	maxHostBytes = 256
)

// servedStream is a stream of a host for which this one is the pool host. Only its handler writes to it.
type servedStream struct {
	control *http.ResponseController
	writer  http.ResponseWriter
}

// write writes a reply and reports whether that was possible.
func (s *servedStream) write(reply token.Reply) bool {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.writer.Write(encodeLine(reply)); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

// close ends the stream: its handler waits for a line most of the time. It must not be called after the handler's end, so
// other callers hold the lock, and the stream is among those served.
func (s *servedStream) close() {
	_ = s.control.SetReadDeadline(time.Now())
}

// ServeHTTP answers the Asks of another host on one stream until it ends.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerHost)
	s := &servedStream{control: http.NewResponseController(w), writer: w}
	// The connection ends with the handler: otherwise net/http would wait for the rest of the request.
	w.Header().Set("Connection", "close")
	defer s.close()
	if s.control.EnableFullDuplex() != nil || id == "" || len(id) > maxHostBytes || !k.active.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.WriteHeader(http.StatusOK)
	if !k.addServed(id, s) {
		return
	}
	defer k.removeServed(id, s)
	if s.write(token.Reply{Clock: k.clock().Milliseconds()}) {
		k.serve(id, s, bufio.NewReaderSize(r.Body, lineBuffer))
	}
	if k.hasLeft(id, s) {
		s.write(token.Reply{Left: true})
	}
}

// serve answers Asks until the stream ends.
func (k *Keeper) serve(id string, s *servedStream, lines *bufio.Reader) {
	for {
		_ = s.control.SetReadDeadline(time.Now().Add(readTimeout))
		if !k.isServed(id, s) {
			return
		}
		ask, err := readLine[token.Ask](lines)
		if err != nil {
			return
		}
		reply, ok := k.answer(id, s, ask)
		if !ok || !s.write(reply) {
			return
		}
	}
}

// addServed registers the stream of a host. An earlier one of the same host ends, as its Asks could delegate a share that
// the host has taken back meanwhile.
func (k *Keeper) addServed(id string, s *servedStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return false
	}
	if before, open := k.serving[id]; open {
		before.close()
	}
	k.serving[id] = s
	return true
}

func (k *Keeper) removeServed(id string, s *servedStream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.serving[id] == s {
		delete(k.serving, id)
	}
}

func (k *Keeper) isServed(id string, s *servedStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.serving[id] == s && !k.stopped
}

// hasLeft reports whether the share of the host is not used any more because this host stops.
func (k *Keeper) hasLeft(id string, s *servedStream) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.serving[id] == s && k.stopped
}

// answer answers an Ask, unless the stream is no longer that of the host.
func (k *Keeper) answer(id string, s *servedStream, ask token.Ask) (token.Reply, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.serving[id] != s || k.stopped {
		return token.Reply{}, false
	}
	k.count("quota_ask_answered")
	return k.delegator.Answer(k.clock(), id, ask), true
}
