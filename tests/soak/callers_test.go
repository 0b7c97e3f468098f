package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// seen is what the callers saw of one request.
type seen struct {
	id     string
	order  bool
	status int
	sentAt time.Time
	broken string
}

// callers send requests to the gateways over connections that they keep.
type callers struct {
	w       *world
	stop    chan struct{}
	running sync.WaitGroup
	client  *http.Client

	mu   sync.Mutex
	all  []seen
	sent int
}

const (
	callersAnEntry = 3
	// pauseOfOne is the pause between the calls of one caller where one gateway runs in each zone; more gateways share the load.
	pauseOfOne = 12500 * time.Microsecond
)

func startCallers(w *world, seed uint64) *callers {
	c := &callers{w: w, stop: make(chan struct{}), client: &http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: callersAnEntry, DisableCompression: true},
	}}
	for i, e := range w.entries {
		for j := range callersAnEntry {
			random := rand.New(rand.NewPCG(seed, uint64(i*callersAnEntry+j)))
			c.running.Go(func() { c.call(e.settings.Listen, random) })
		}
	}
	return c
}

// end stops the callers and returns what they saw.
func (c *callers) end() []seen {
	close(c.stop)
	c.running.Wait()
	c.client.CloseIdleConnections()
	return c.all
}

func (c *callers) call(address string, random *rand.Rand) {
	pause := pauseOfOne * time.Duration(hostsAZone())
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(pause/2 + time.Duration(random.Int64N(int64(pause)))):
		}
		c.mu.Lock()
		c.sent++
		id := fmt.Sprintf("r%d", c.sent)
		c.mu.Unlock()
		one := c.send(address, id, random.IntN(2) == 0)
		c.mu.Lock()
		c.all = append(c.all, one)
		c.mu.Unlock()
	}
}

// send sends one request; a status of zero says that there was no answer.
func (c *callers) send(address, id string, order bool) seen {
	one := seen{id: id, order: order, sentAt: time.Now()}
	method, path, body := http.MethodGet, "/lookup/1", ""
	if order {
		method, path, body = http.MethodPost, "/order/1", "the order "+id
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		one.broken = err.Error()
		return one
	}
	// net/http would send a request with a body of this kind anew on its own account.
	request.GetBody = nil
	request.Host = shop
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	response, err := c.client.Do(request)
	if err != nil {
		return one
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return one
	}
	one.status = response.StatusCode
	if one.status == http.StatusOK {
		one.broken = c.check(id, response, string(text))
	}
	return one
}

// check returns what is wrong with a success, empty for a proper one.
func (c *callers) check(id string, response *http.Response, text string) string {
	switch {
	case response.Header.Get("Request-Id") != id:
		return "answer of request " + response.Header.Get("Request-Id")
	case !strings.HasPrefix(response.Header.Get("Response-Signature"), "signed-"):
		return "success without a signature"
	case text != "the server's bytes":
		return fmt.Sprintf("body %q", text)
	default:
		return ""
	}
}
