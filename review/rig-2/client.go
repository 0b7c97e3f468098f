package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

// Request is one attempt of a client.
type Request struct {
	Method, Host, Path, Key, Body string
	Budget                        time.Duration
}

// Answer is what the client got; the status is zero without a complete answer.
type Answer struct {
	ID      string
	Status  int
	SentAt  time.Time
	Took    time.Duration
	Signed  bool
	Body    string
	Problem string
}

// Client sends attempts over kept connections.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// Send sends one attempt to the address of a gateway.
func (c *Client) Send(address string, q Request) Answer {
	return c.SendNoting(address, q, func(string, time.Time) {})
}

// SendNoting is Send, and calls note with the id and the time right before it sends.
func (c *Client) SendNoting(address string, q Request, note func(id string, at time.Time)) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", requestCount.Add(1)), SentAt: time.Now()}
	request, err := http.NewRequest(q.Method, "http://"+address+q.Path, strings.NewReader(q.Body))
	check(err)
	request.Host = q.Host
	request.Header.Set("Request-Id", a.ID)
	request.Header.Set("Deadline-Ms", fmt.Sprint(q.Budget.Milliseconds()))
	if q.Key != "" {
		request.Header.Set("X-Api-Key", q.Key)
	}
	note(a.ID, a.SentAt)
	client := *c.http
	client.Timeout = q.Budget
	response, err := client.Do(request)
	if err != nil {
		a.Problem = err.Error()
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	a.Took = time.Since(a.SentAt)
	if err != nil {
		a.Problem = err.Error()
		return a
	}
	a.Status, a.Body, a.Signed = response.StatusCode, string(body), response.Header.Get("Response-Signature") != ""
	return a
}
