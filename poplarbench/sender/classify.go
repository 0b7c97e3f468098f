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

// answer holds the fields that the generator reads, of a whole answer or of problem details.
type answer struct {
	RequestID string `json:"request_id"`
	Title     string `json:"title"`
	Outcome   string `json:"outcome"`
}

// classify says what an answer that arrived whole means to its caller.
func classify(status int, contentType string, body []byte, requestID string) (outcome.Kind, string) {
	var read answer
	err := json.Unmarshal(body, &read)
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return classifyAnswer(read, err, requestID)
	}
	detail := fmt.Sprintf("status %d", status)
	media, _, _ := mime.ParseMediaType(contentType)
	if err != nil || media != problemType {
		return outcome.Unknown, detail + " without problem details"
	}
	if read.Title != "" {
		detail += " " + read.Title
	}
	switch kind := outcome.Kind(read.Outcome); kind {
	case outcome.NotRun, outcome.Unknown:
		return kind, detail
	default:
		return outcome.Unknown, detail + " without outcome"
	}
}

func classifyAnswer(read answer, err error, requestID string) (outcome.Kind, string) {
	if err != nil {
		return outcome.WrongAnswer, "answer is not JSON"
	}
	if read.RequestID != requestID {
		return outcome.WrongAnswer, "answer to another request"
	}
	return outcome.Served, ""
}

// reason names a failure by its kind alone, so that reasons can be counted.
func reason(err error) string {
	var network net.Error
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &network) && network.Timeout():
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
