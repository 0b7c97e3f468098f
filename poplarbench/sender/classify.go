package sender

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"syscall"

	"github.com/pkg/errors"

	"poplarhook.example/poplarbench/outcome"
)

const problemType = "application/problem+json"

// responseBody holds the fields that the load generator reads from an answer or from problem details.
type responseBody struct {
	RequestID string `json:"request_id"`
	Title     string `json:"title"`
	Outcome   string `json:"outcome"`
}

// classifyResponse returns the kind of outcome of a completely received response, and the reason if the request was not
// served.
func classifyResponse(status int, contentType string, body []byte, requestID string) (outcome.Kind, string) {
	var decoded responseBody
	err := json.Unmarshal(body, &decoded)
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return classifyBody(decoded, err, requestID)
	}
	detail := fmt.Sprintf("status %d", status)
	media, _, _ := mime.ParseMediaType(contentType)
	if err != nil || media != problemType {
		return outcome.Unknown, detail + " without problem details"
	}
	if decoded.Title != "" {
		detail += " " + decoded.Title
	}
	switch kind := outcome.Kind(decoded.Outcome); kind {
	case outcome.NotRun, outcome.Unknown:
		return kind, detail
	default:
		return outcome.Unknown, detail + " without outcome"
	}
}

func classifyBody(decoded responseBody, err error, requestID string) (outcome.Kind, string) {
	if err != nil {
		return outcome.WrongAnswer, "answer is not JSON"
	}
	if decoded.RequestID != requestID {
		return outcome.WrongAnswer, "answer to another request"
	}
	return outcome.Served, ""
}

// failureReason returns a fixed text for each kind of transport failure, so that failures can be counted by reason.
func failureReason(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "connection reset"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "connection closed early"
	default:
		return "transport failure"
	}
}
