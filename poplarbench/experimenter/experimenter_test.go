package experimenter_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"poplarhook.example/lib/host"
	"poplarhook.example/poplarbench/endpointrecords"
	"poplarhook.example/poplarbench/execution"
	"poplarhook.example/poplarbench/experimenter"
	"poplarhook.example/poplarbench/scenario"
)

// faultyEndpoint is an endpoint in region louna that records two executions of each order and none of a lookup.
type faultyEndpoint struct {
	mu         sync.Mutex
	executions []execution.Execution
}

func (f *faultyEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.URL.Path {
	case "/standin/executions":
		_ = json.NewEncoder(w).Encode(endpointrecords.Records{Executions: f.executions, ColdOverloads: 2, ColdPeakInFlight: 5})
	case "/v1/hosts":
		_ = json.NewEncoder(w).Encode(struct {
			Hosts []host.Host `json:"hosts"`
		}{[]host.Host{{ID: "e1", Region: "louna"}}})
	case "/orders":
		recorded := execution.Execution{RequestID: r.Header.Get("X-Request-Id"), EndpointID: "e1", Class: "order", StartedUnixUS: time.Now().UnixMicro()}
		f.executions = append(f.executions, recorded, recorded)
		fallthrough
	default:
		_, _ = fmt.Fprintf(w, `{"request_id":%q}`, r.Header.Get("X-Request-Id"))
	}
}

func TestRunFindsDiscrepancies(t *testing.T) {
	c := qt.New(t)
	earlier := execution.Execution{RequestID: "old", Class: "before"}
	server := httptest.NewServer(&faultyEndpoint{executions: []execution.Execution{earlier}})
	defer server.Close()
	address := server.Listener.Addr().String()
	offered := scenario.Scenario{DurationMS: 200, RatePerS: 200, Arrivals: scenario.Constant, Mix: []scenario.Entry{
		{Name: "lookup", Weight: 1, Method: http.MethodGet, Path: "/stock"},
		{Name: "order", Weight: 1, Method: http.MethodPost, Path: "/orders", OnceOnly: true, HomeRegions: []string{"pohja"}},
	}}
	measured, err := experimenter.New(offered, []string{address}, time.Now,
		experimenter.WithControls(address), experimenter.WithCollectDelay(0),
		experimenter.WithHostList("http://"+address+"/v1/hosts"), experimenter.WithLabel("faulty"),
	).Run(t.Context())
	c.Assert(err, qt.IsNil)
	orders := measured.Mix[1].Sent
	c.Assert(measured.Sent, qt.Equals, int64(39))
	c.Assert(measured.Served, qt.Equals, int64(39))
	c.Assert(measured.Lost, qt.Equals, measured.Mix[0].Sent)
	c.Assert(measured.Doubled, qt.Equals, orders)
	c.Assert(measured.ServedAgainstClass, qt.Equals, orders)
	c.Assert(measured.Executions, qt.HasLen, 1)
	c.Assert(measured.Executions[0].Executions, qt.Equals, 2*orders)
	c.Assert(measured.ColdOverloads, qt.Equals, int64(2))
	c.Assert(measured.ColdPeakInFlight, qt.Equals, int64(5))
	c.Assert(measured.IsClean(), qt.IsFalse)
	c.Assert(measured.P50MS > 0, qt.IsTrue)
}
