package meter_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"poplarhook.example/poplarhook/modules/meter"
)

func TestHandlerServesPrometheusText(t *testing.T) {
	c := quicktest.New(t)
	m := meter.New("poplarhook_test")
	m.Count("hedge_sent")
	m.CountRequest("served", "stock_lookup", 3*time.Millisecond)
	c.Assert(m.Close(), quicktest.IsNil)
	recorder := httptest.NewRecorder()
	m.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	c.Assert(recorder.Body.String(), quicktest.Contains, "poplarhook_test_hedge_sent 1")
	c.Assert(recorder.Body.String(), quicktest.Contains, `poplarhook_test_requests{class="stock_lookup",outcome="served"} 1`)
}
