package dispatcher

import (
	"encoding/json"
	"mime"
	"net/http"

	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
)

// orcaReader reads answers of endpoints that speak the product's own headers.
type orcaReader struct{}

// Report reads the load report of the answer's head.
func (orcaReader) Report(_ job.Job, response *http.Response) report.Report {
	return report.FromHeader(response.StatusCode, response.Header)
}

// Refuses reports whether the answer is a problem that says that the request was not run.
func (orcaReader) Refuses(response *http.Response, body []byte) bool {
	return promisesNotRun(response, body)
}

// promise is the part of problem details (RFC 9457) by which an endpoint says that it did not run a request.
type promise struct {
	Outcome string `json:"outcome"`
}

func promisesNotRun(response *http.Response, body []byte) bool {
	if response.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/problem+json" {
		return false
	}
	var p promise
	return json.Unmarshal(body, &p) == nil && p.Outcome == refusal.OutcomeNotRun
}
