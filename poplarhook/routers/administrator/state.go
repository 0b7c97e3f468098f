package administrator

import (
	"net/http"

	"poplarhook.example/lib/problem"
)

func (a *Administrator) dump(w http.ResponseWriter, r *http.Request, _ string) {
	write(w, a.state(r.Context()))
}

func (a *Administrator) reportStatus(w http.ResponseWriter, r *http.Request, _ string) {
	write(w, a.status(r.Context()))
}

// probe answers 200, or 503 with the reason.
func probe(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := check(); err != nil {
			problem.New(http.StatusServiceUnavailable, problem.CodeUnavailable, err.Error()).Write(w)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	}
}
