package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client gets.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

// request is one client attempt.
type request struct {
	method, host, path, id string
	deadlineMS             int
	body                   string
	headers                []string
}

// text returns the bytes of the request.
func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.deadlineMS)
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	if r.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// send sends one request on a new connection and reads its answer.
func send(rec *record, g *gateway, r request) answer {
	rec.add("client sends %s to %s: %s %s", r.id, g.name, r.method, r.path)
	a := sendQuietly(g, r)
	if a.err != nil {
		rec.add("client gets no whole answer to %s: %v", r.id, a.err)
	} else {
		rec.add("client gets %d for %s, signature %q", a.status, r.id, a.signature)
	}
	return a
}

func sendQuietly(g *gateway, r request) answer {
	conn, err := dial(g)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(r.deadlineMS)*time.Millisecond + time.Second))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn))
}

// readAnswer reads one whole answer.
func readAnswer(reader *bufio.Reader) answer {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, signature: response.Header.Get("Response-Signature"), body: string(body)}
}
