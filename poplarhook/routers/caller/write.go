package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"poplarhook.example/poplarhook/models/answer"
	"poplarhook.example/poplarhook/models/job"
	"poplarhook.example/poplarhook/models/refusal"
)

// problem is the body of a refusal (RFC 9457); the outcome is an extension member.
type problem struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
}

// refuse writes problem details that state whether an endpoint may have run the request.
func (c *Caller) refuse(w http.ResponseWriter, request *http.Request, j job.Job, err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.Unknown(err.Error())
	}
	took := c.clock().Sub(j.ArrivedAt)
	c.count(r.Outcome, j.Class.Name, took)
	c.logger.Warn("request refused", zap.String("request", j.ID), zap.String("class", j.Class.Name), zap.String("service", j.Class.Service),
		zap.Int("status", r.Status), zap.String("outcome", r.Outcome), zap.String("reason", r.Reason), zap.Duration("took", took),
		zap.Duration("left", j.Deadline.Sub(j.ArrivedAt)-took), zap.Duration("retry_after", r.RetryAfter),
		zap.Bool("caller_left", request.Context().Err() != nil))
	body, err := json.Marshal(problem{
		Type:      "about:blank",
		Title:     http.StatusText(r.Status),
		Status:    r.Status,
		Detail:    r.Reason,
		Outcome:   r.Outcome,
		RequestID: j.ID,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", c.dialect.RetryAfter(r.RetryAfter))
	}
	c.dialect.SetRequestID(w.Header(), j.ID)
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(r.Status)
	_, _ = w.Write(body)
}

// droppedHeaders lists the answer headers that are not forwarded, because they concern only the connection between the
// endpoint and this host.
var droppedHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Endpoint-Load-Metrics"}

// writeAnswer forwards the answer, and closes the connection if the answer is incomplete.
func (c *Caller) writeAnswer(w http.ResponseWriter, r *http.Request, j job.Job, a *answer.Answer) {
	header := w.Header()
	for name, values := range a.Header {
		if !slices.Contains(droppedHeaders, name) {
			header[name] = values
		}
	}
	c.dialect.SetRequestID(header, j.ID)
	if a.Length >= 0 && mayHaveBody(a.Status) {
		header.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if r.Method != http.MethodHead {
		c.writeBody(w, r, j, a)
	}
	took := c.clock().Sub(j.ArrivedAt)
	c.count("served", j.Class.Name, took)
	c.logger.Info("request answered", zap.String("request", j.ID), zap.String("class", j.Class.Name),
		zap.Int("status", a.Status), zap.Int("sends", a.Attempts), zap.Duration("took", took), zap.Duration("target", j.Class.LatencyTarget()))
}

func (c *Caller) writeBody(w http.ResponseWriter, r *http.Request, j job.Job, a *answer.Answer) {
	if _, err := w.Write(a.Start); err != nil {
		c.closeConnection(w, r, j, "caller_gone")
	}
	if a.Rest == nil {
		return
	}
	if _, err := io.Copy(w, a.Rest); err != nil {
		c.closeConnection(w, r, j, "broken")
	}
}

// closeConnection closes the caller's connection, so that the caller does not take an incomplete answer for a complete
// one. With HTTP/1.0 the end of the connection is the end of a body without length, so it is reset then.
func (c *Caller) closeConnection(w http.ResponseWriter, r *http.Request, j job.Job, outcome string) {
	c.count(outcome, j.Class.Name, c.clock().Sub(j.ArrivedAt))
	if !r.ProtoAtLeast(1, 1) {
		c.resetConnection(w, j)
	}
	panic(http.ErrAbortHandler)
}

// lingerer is a connection that can be closed with a reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// resetConnection closes the caller's connection with a reset.
func (c *Caller) resetConnection(w http.ResponseWriter, j job.Job) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		c.logger.Warn("connection of an incomplete answer could not be reset", zap.String("request", j.ID), zap.String("error", err.Error()))
		return
	}
	if l, ok := conn.(lingerer); ok {
		err = l.SetLinger(0)
	}
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		c.logger.Warn("connection of an incomplete answer could not be reset", zap.String("request", j.ID), zap.String("error", err.Error()))
	}
}

// mayHaveBody reports whether an answer with the status may have a body.
func mayHaveBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
