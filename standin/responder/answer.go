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

	"poplarhook.example/standin/acceptor"
	"poplarhook.example/standin/loadreport"
)

const (
	maxAnswerBytes   = 16 << 20
	wrongLengthBytes = 7
	extraAnswer      = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"request_id\":\"\"}"
)

// answerBody is the body of an answer. It lets the caller check that the answer is complete and belongs to its request.
type answerBody struct {
	RequestID     string `json:"request_id"`
	EndpointID    string `json:"endpoint_id"`
	Incarnation   string `json:"incarnation"`
	ReceivedBytes int64  `json:"received_bytes"`
	Padding       string `json:"padding"`
}

type problemBody struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

func (r *Responder) writeAnswer(w http.ResponseWriter, request *http.Request, arrived arrival, incarnation string) {
	padding, _ := strconv.Atoi(request.Header.Get("X-Answer-Bytes"))
	text, err := json.Marshal(answerBody{
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
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	switch {
	case settings.Abrupt:
		resetConnection(request)
	case settings.Truncate:
		sendTruncated(w, text)
	case settings.WrongLength:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+wrongLengthBytes))
		sendRawResponse(w, text)
	case settings.Surplus:
		sendRawResponse(w, append(text, extraAnswer...))
	default:
		_, _ = w.Write(text)
	}
}

// writeShed answers that the request was not run, and counts it as shed.
func (r *Responder) writeShed(w http.ResponseWriter) {
	r.mu.Lock()
	r.totals.Shed++
	r.mu.Unlock()
	r.setHeaders(w)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(problemBody{Title: "Shed", Status: http.StatusServiceUnavailable, Outcome: "not_run"})
}

// setHeaders sets the load report header and, when the endpoint is leaving, "Connection: close".
func (r *Responder) setHeaders(w http.ResponseWriter) Settings {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(loadreport.Header, r.recordLoad().String())
	if r.settings.Leaving {
		w.Header().Set("Connection", "close")
	}
	return r.settings
}

func resetConnection(request *http.Request) {
	if c, ok := request.Context().Value(connKey{}).(net.Conn); ok {
		acceptor.Reset(c)
	}
	panic(http.ErrAbortHandler)
}

// sendTruncated sends the first half of the text and closes the connection.
func sendTruncated(w http.ResponseWriter, text []byte) {
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// sendRawResponse sends the headers that are set and exactly the text, and then discards what it receives until the
// peer closes the connection.
func sendRawResponse(w http.ResponseWriter, text []byte) {
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
