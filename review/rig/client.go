package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// client is a stand-in of one client that keeps its connection open.
type client struct {
	run  *run
	http *http.Client
	base string
}

func (c *run) newClient(front string) *client {
	return &client{run: c, base: "http://" + front, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// reply is what a client got for one attempt; err is set if it got no complete answer.
type reply struct {
	id        string
	status    int
	signature string
	body      string
	err       error
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send makes one attempt; the client does not repeat it.
func (c *client) send(method, host, path string, payload []byte, budget time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	got := reply{id: newID()}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(payload))
	if err != nil {
		got.err = err
		return got
	}
	// Without GetBody the transport does not send the request a second time by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set("Request-Id", got.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	c.run.record("client: sends %s %s %s", method, path, got.id)
	response, err := c.http.Do(request)
	if err != nil {
		got.err = err
		c.run.record("client: no answer to %s: %v", got.id, err)
		return got
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	got.status, got.signature, got.body, got.err = response.StatusCode, response.Header.Get("Response-Signature"), string(text), err
	c.run.record("client: answer %d to %s, signature %q, retry after %q", got.status, got.id, got.signature, response.Header.Get("Retry-After"))
	return got
}
