package execution

// Execution is an endpoint's record of the execution of one request.
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
	Completed      bool   `json:"completed"`
}
