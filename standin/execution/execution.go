package execution

// Execution is the record of one request that an endpoint started to run.
type Execution struct {
	RequestID      string `json:"request_id"`
	EndpointID     string `json:"endpoint_id"`
	Class          string `json:"class"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Marker         string `json:"marker"`
	Incarnation    string `json:"incarnation"`
	StartedUnixUS  int64  `json:"started_unix_us"`
	FinishedUnixUS int64  `json:"finished_unix_us"`
	// Completed is false while the request runs, and when it was cancelled or ended by a restart of the endpoint.
	Completed bool `json:"completed"`
}
