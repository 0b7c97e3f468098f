package responder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"poplarhook.example/standin/gatekeeper"
	"poplarhook.example/standin/loadreport"
)

const (
	maxAnswerBytes   = 16 << 20
	wrongLengthBytes = 7
	strayAnswer      = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"request_id\":\"\"}"
)

// body is the answer of an endpoint; its caller can tell by it that the answer is whole and its own.
type body struct {
	RequestID     string `json:"request_id"`
	EndpointID    string `json:"endpoint_id"`
	Incarnation   string `json:"incarnation"`
	ReceivedBytes int64  `json:"received_bytes"`
	Padding       string `json:"padding"`
}

type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

func (r *Responder) answer(w http.ResponseWriter, request *http.Request, arrived arrival, incarnation string) {
	padding, _ := strconv.Atoi(request.Header.Get("X-Answer-Bytes"))
	text, err := json.Marshal(body{
		RequestID:     request.Header.Get("X-Request-Id"),
		EndpointID:    r.host.ID,
		Incarnation:   incarnation,
		ReceivedBytes: arrived.receivedBytes,
		Padding:       strings.Repeat("x", min(max(padding, 0), maxAnswerBytes)),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	settings := r.setHeaders(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch {
	case settings.Abrupt:
		cut(request)
	case settings.Truncate:
		truncate(w, text)
	case settings.WrongLength:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+wrongLengthBytes))
		sendRaw(w, text)
	case settings.Surplus:
		sendRaw(w, append(text, strayAnswer...))
	default:
		_, _ = w.Write(text)
	}
}

func (r *Responder) refuse(w http.ResponseWriter) {
	r.mu.Lock()
	r.totals.Shed++
	r.mu.Unlock()
	r.setHeaders(w)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(problem{Title: "Shed", Status: http.StatusServiceUnavailable, Outcome: "not_run"})
}

// setHeaders sets the load report and, on an endpoint that leaves, Connection: close.
func (r *Responder) setHeaders(w http.ResponseWriter) Settings {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(loadreport.Header, r.note().String())
	if r.settings.Leaving {
		w.Header().Set("Connection", "close")
	}
	return r.settings
}

func cut(request *http.Request) {
	if c, ok := request.Context().Value(connKey{}).(net.Conn); ok {
		gatekeeper.Cut(c)
	}
	panic(http.ErrAbortHandler)
}

func truncate(w http.ResponseWriter, text []byte) {
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendRaw sends exactly the text under the headers set, and then nothing until the peer closes.
func sendRaw(w http.ResponseWriter, text []byte) {
	header := w.Header().Clone()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 %d %s\r\n", http.StatusOK, http.StatusText(http.StatusOK))
	_ = header.Write(&raw)
	raw.WriteString("\r\n")
	raw.Write(text)
	_, _ = c.Write(raw.Bytes())
	_, _ = io.Copy(io.Discard, c)
}
