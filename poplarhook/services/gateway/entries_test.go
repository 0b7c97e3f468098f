package gateway_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/lib/service"
	"poplarhook.example/platform/imitator"
)

// nested returns a JSON list that is nested to the depth.
func nested(depth int) json.RawMessage {
	return json.RawMessage(strings.Repeat("[", depth) + strings.Repeat("]", depth))
}

// oddEntries are entries of another writer among those of the endpoints.
func oddEntries() map[string]any {
	entry := func(field string, value any) map[string]any {
		e := map[string]any{"service": "stock", "address": "127.0.0.1:9", "zone": zone, "version": "v1", "slots": 2, "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1}
		e[field] = value
		return e
	}
	return map[string]any{
		"deep":          nested(9999),
		"deep_field":    entry("slots", nested(9990)),
		"slots_int":     entry("slots", int64(1)<<62),
		"slots_float":   entry("slots", json.RawMessage("1e400")),
		"warmup":        entry("warmup_left_ms", json.RawMessage("1e300")),
		"warmup_beyond": entry("warmup_left_ms", json.RawMessage("1e400")),
		"born":          entry("born", json.RawMessage("1e40")),
		"seq":           entry("seq", json.RawMessage("1e400")),
		"port":          entry("address", "127.0.0.1:99999"),
		"port_negative": entry("address", "127.0.0.1:-1"),
		"no_port":       entry("address", "127.0.0.1"),
		"text":          "no entry",
		"number":        json.RawMessage("1e400"),
		"null":          nil,
	}
}

// Odd entries of another writer must neither end the process nor keep it from following the other entries. One that was
// nested too deeply hid all endpoints, so that a host that started served nothing.
func TestOddEntriesDoNotHideEndpoints(t *testing.T) {
	t.Parallel()
	for name, entry := range oddEntries() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			w := newTestEnv(t, 2, func(s *imitator.Store) {
				s.Put("servers", "odd-at-start", entry)
				s.Put("evacuations", "zone-odd", entry)
			})
			w.store.PutConfiguration(2, newClasses(), []service.Service{{Name: "stock", HealthPath: "/health", Connections: 100, ColdPerSecond: 5}})
			w.waitUntil("the gateway is ready", w.isReady)
			c.Assert(w.sendRequest(http.MethodGet, "/lookup/1", "before", "").status, qt.Equals, http.StatusOK)

			w.store.Put("servers", "odd-later", entry)
			next := imitator.NewEndpoint("endpoint-next")
			w.endpoints = append(w.endpoints, next)
			w.putEndpointEntry(next, host.StateLive)
			for _, e := range w.endpoints[:2] {
				w.store.Remove("servers", e.ID)
			}
			w.waitUntil("requests run at the new endpoint", func() bool {
				return w.sendRequest(http.MethodGet, "/lookup/1", "after", "").status == http.StatusOK && len(next.Runs()) > 0
			})
		})
	}
}
