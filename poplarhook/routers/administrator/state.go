package administrator

import (
	"net/http"

	"poplarhook.example/lib/problem"
)

func (a *Administrator) dumpState(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, a.state(r.Context()))
}

func (a *Administrator) reportStatus(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, a.status(r.Context()))
}

// healthHandler answers with status 200 if the check succeeds, and otherwise with 503 and the error of the check.
func healthHandler(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			problem.New(http.StatusServiceUnavailable, problem.CodeUnavailable, err.Error()).Write(w)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}
