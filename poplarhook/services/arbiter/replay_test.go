package arbiter_test

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

// traceLine is one event of a recorded trace, or a condition that must hold at its time.
type traceLine struct {
	AtMS     int      `json:"at_ms"`
	Event    string   `json:"event"`
	Host     string   `json:"host"`
	To       string   `json:"to"`
	Endpoint string   `json:"endpoint"`
	Count    int      `json:"count"`
	Hosts    []string `json:"hosts"`
	Listed   []string `json:"listed"`
}

func TestReplay(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(paths) > 0, quicktest.IsTrue)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { replayTrace(quicktest.New(t), path) })
	}
}

func replayTrace(c *quicktest.C, path string) {
	file, err := os.Open(path)
	c.Assert(err, quicktest.IsNil)
	defer file.Close()
	var w *simulation
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		var line traceLine
		c.Assert(json.Unmarshal(lines.Bytes(), &line), quicktest.IsNil)
		if w == nil {
			w = newSimulation(line.Hosts, line.Listed)
			continue
		}
		if timeAfterStart(line.AtMS).After(w.now) {
			w.advanceClock(timeAfterStart(line.AtMS).Sub(w.now))
		}
		w.applyTraceLine(c, line, quicktest.Commentf("line %d: %s", number, lines.Text()))
	}
	c.Assert(lines.Err(), quicktest.IsNil)
}

func (w *simulation) applyTraceLine(c *quicktest.C, line traceLine, comment quicktest.Comment) {
	switch line.Event {
	case "owner":
		w.setOwner(line.Host, line.To)
	case "ask":
		w.submitRequest(line.Host)
	case "finish":
		w.finishRequestAt(c, line.Endpoint, comment)
	case "tick":
		w.tickHost(line.Host)
	case "settle":
		w.deliverAllFrames()
	case "cut", "join":
		w.setLinkCut(line.Host, line.To, line.Event == "cut")
	case "restart":
		w.restartEndpoint(line.Endpoint, 0)
	case "deliver":
		w.deliverNextFrame([2]string{line.Host, line.To})
	case "kill":
		w.stopHost(line.Host)
	case "in_flight":
		c.Assert(w.inFlight(line.Endpoint), quicktest.Equals, line.Count, comment)
	case "warm":
		c.Assert(w.endpoints[line.Endpoint].isCold(), quicktest.IsFalse, comment)
	default:
		c.Fatalf("unknown event, %v", comment)
	}
}

func (w *simulation) finishRequestAt(c *quicktest.C, endpointID string, comment quicktest.Comment) {
	for i, r := range w.running {
		if r.endpoint == endpointID {
			w.finishRequest(i)
			return
		}
	}
	c.Fatalf("no request is running at the endpoint, %v", comment)
}
