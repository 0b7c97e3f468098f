package dispatcher

import (
	"encoding/json"
	"mime"
	"net/http"

	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
	"poplarhook.example/poplarhook/models/report"
)

// orcaReader reads answers of endpoints that use Poplarhook's own headers.
type orcaReader struct{}

// Report reads the load report from the answer's headers. An answer with the id of another request is mismatched;
// endpoints need not send the id.
func (orcaReader) Report(j job.Job, response *http.Response) report.Report {
	r := report.FromHeader(response.StatusCode, response.Header)
	id := response.Header.Get(headerRequestID)
	r.Mismatched = id != "" && id != j.ID
	return r
}

// headerRequestID is the header in which an endpoint may repeat the id of the request that it answers.
const headerRequestID = "X-Request-Id"

// Refuses reports whether the answer holds problem details which state that the request was not run.
func (orcaReader) Refuses(response *http.Response, body []byte) bool {
	return statesNotRun(response, body)
}

// notRunProblem is the part of problem details (RFC 9457) in which an endpoint states that it did not run a request.
type notRunProblem struct {
	Outcome string `json:"outcome"`
}

func statesNotRun(response *http.Response, body []byte) bool {
	if response.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/problem+json" {
		return false
	}
	var p notRunProblem
	return json.Unmarshal(body, &p) == nil && p.Outcome == refusal.OutcomeNotRun
}
