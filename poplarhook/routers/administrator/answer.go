package administrator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"poplarhook.example/lib/problem"
	"poplarhook.example/lib/publisher"
	"poplarhook.example/lib/violation"
)

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		problem.New(http.StatusInternalServerError, problem.CodeInternal, err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

// writeAtRevision writes a value as JSON, with the revision of the configuration that it belongs to as the ETag.
func writeAtRevision(w http.ResponseWriter, revision int64, value any) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(revision, 10)))
	writeJSON(w, value)
}

// refuse counts the error and writes it as problem details.
func (a *Administrator) refuse(w http.ResponseWriter, r *http.Request, err error) {
	a.count("admin_refused")
	p := newProblem(r, err)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	p.Write(w)
}

func newProblem(r *http.Request, err error) problem.Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return problem.New(http.StatusRequestEntityTooLarge, problem.CodeTooLarge,
			"body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	case errors.Is(err, violation.ErrInvalid):
		return problem.New(http.StatusUnprocessableEntity, problem.CodeInvalid, err.Error()).
			WithViolations(violation.List(err))
	case errors.Is(err, publisher.ErrConflict) && r.Header.Get("If-Match") != "":
		return problem.New(http.StatusPreconditionFailed, problem.CodeConflict, err.Error())
	case errors.Is(err, publisher.ErrConflict):
		return problem.New(http.StatusConflict, problem.CodeConflict, err.Error())
	case errors.Is(err, publisher.ErrChangeIDUsed):
		return problem.New(http.StatusConflict, problem.CodeChangeIDUsed, err.Error())
	case errors.Is(err, publisher.ErrUnavailable):
		return problem.New(http.StatusServiceUnavailable, problem.CodeUnavailable, err.Error())
	case errors.Is(err, publisher.ErrUnknownOutcome):
		return problem.New(http.StatusGatewayTimeout, problem.CodeUnknownOutcome, err.Error())
	case errors.Is(err, publisher.ErrUnknownChange):
		return problem.New(http.StatusNotFound, problem.CodeNotFound, err.Error())
	}
	return problem.New(http.StatusInternalServerError, problem.CodeInternal, err.Error())
}

// ifMatchRevision returns the revision in the If-Match header, and whether the request has that header.
func ifMatchRevision(r *http.Request) (int64, bool, error) {
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return 0, false, nil
	}
	revision, err := strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
	if err != nil || revision < 0 {
		return 0, false, violation.New("If-Match", tag, `a revision in quotes, such as "12"`)
	}
	return revision, true, nil
}
