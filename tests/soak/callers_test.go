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

// callResult is the result of one request as its caller saw it.
type callResult struct {
	id      string
	isOrder bool
	status  int
	sentAt  time.Time
	problem string
}

// callers send requests to the entry hosts over persistent connections.
type callers struct {
	env     *environment
	stop    chan struct{}
	running sync.WaitGroup
	client  *http.Client

	mu      sync.Mutex
	results []callResult
	sent    int
}

const (
	callersPerEntry = 3
	// basePause is the mean pause between the calls of one caller if one entry host runs in each zone. With more entry
	// hosts the pause grows in proportion, so that the total load stays the same.
	basePause = 12500 * time.Microsecond
)

func startCallers(env *environment, seed uint64) *callers {
	c := &callers{env: env, stop: make(chan struct{}), client: &http.Client{
		Timeout:   3 * time.Second,
		Transport: &http.Transport{MaxIdleConnsPerHost: callersPerEntry, DisableCompression: true},
	}}
	for i, e := range env.entries {
		for j := range callersPerEntry {
			random := rand.New(rand.NewPCG(seed, uint64(i*callersPerEntry+j)))
			c.running.Go(func() { c.callRepeatedly(e.settings.Listen, random) })
		}
	}
	return c
}

// end stops the callers and returns the results of their requests.
func (c *callers) end() []callResult {
	close(c.stop)
	c.running.Wait()
	c.client.CloseIdleConnections()
	return c.results
}

func (c *callers) callRepeatedly(address string, random *rand.Rand) {
	pause := basePause * time.Duration(hostsPerZone())
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
		result := c.sendRequest(address, id, random.IntN(2) == 0)
		c.mu.Lock()
		c.results = append(c.results, result)
		c.mu.Unlock()
	}
}

// sendRequest sends one request. The status of its result is zero if there was no complete answer.
func (c *callers) sendRequest(address, id string, order bool) callResult {
	result := callResult{id: id, isOrder: order, sentAt: time.Now()}
	method, path, body := http.MethodGet, "/lookup/1", ""
	if order {
		method, path, body = http.MethodPost, "/order/1", "the order "+id
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		result.problem = err.Error()
		return result
	}
	// Without GetBody, net/http cannot resend the request by itself.
	request.GetBody = nil
	request.Host = shopHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	response, err := c.client.Do(request)
	if err != nil {
		return result
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return result
	}
	result.status = response.StatusCode
	if result.status == http.StatusOK {
		result.problem = c.findAnswerFault(id, response, string(text))
	}
	return result
}

// findAnswerFault returns what is wrong with a successful answer, or the empty string if the answer is correct.
func (c *callers) findAnswerFault(id string, response *http.Response, text string) string {
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
