package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid is returned for an invalid scenario.
var ErrInvalid = errors.New("invalid scenario")

const (
	maxDurationMS  = 24 * 60 * 60 * 1000
	maxRatePerS    = 1_000_000
	maxBodyBytes   = 1 << 20
	maxDeadlineMS  = 10 * 60 * 1000
	maxWeight      = 1_000_000
	maxMixEntries  = 256
	maxMarkerBytes = 1024
)

var methods = []string{
	http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// Parse decodes a scenario and validates it. Errors name the field, its value and the allowed values.
func Parse(r io.Reader) (Scenario, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var s Scenario
	if err := decoder.Decode(&s); err != nil {
		return Scenario{}, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Scenario{}, errors.Wrap(ErrInvalid, "text after the scenario: allowed is one JSON object")
	}
	if s.Arrivals == "" {
		s.Arrivals = Poisson
	}
	return s, s.Check()
}

// Check returns an error that wraps ErrInvalid for the first field with an invalid value.
func (s Scenario) Check() error {
	if err := checkRange("duration_ms", float64(s.DurationMS), 1, maxDurationMS); err != nil {
		return err
	}
	if s.RatePerS <= 0 || s.RatePerS > maxRatePerS {
		return newInvalidError("rate_per_s", s.RatePerS, fmt.Sprintf("above 0, up to %d", maxRatePerS))
	}
	if s.Arrivals != Poisson && s.Arrivals != Constant {
		return newInvalidError("arrivals", s.Arrivals, Poisson+", "+Constant)
	}
	if err := checkRange("number of mix entries", float64(len(s.Mix)), 1, maxMixEntries); err != nil {
		return err
	}
	names := make([]string, 0, len(s.Mix))
	for i, entry := range s.Mix {
		if err := entry.checkEntry(fmt.Sprintf("mix[%d].", i)); err != nil {
			return err
		}
		if slices.Contains(names, entry.Name) {
			return newInvalidError(fmt.Sprintf("mix[%d].name", i), entry.Name, "a name that no other entry has")
		}
		names = append(names, entry.Name)
	}
	return nil
}

func (e Entry) checkEntry(prefix string) error {
	if e.Name == "" {
		return newInvalidError(prefix+"name", e.Name, "a text that is not empty")
	}
	if !slices.Contains(methods, e.Method) {
		return newInvalidError(prefix+"method", e.Method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(e.Path, "/") || strings.ContainsAny(e.Path, " \r\n\t#") {
		return newInvalidError(prefix+"path", e.Path, "a path that starts with / and holds no white space or #")
	}
	if strings.ContainsAny(e.Host, " \r\n\t/") {
		return newInvalidError(prefix+"host", e.Host, "a host name with or without port")
	}
	if len(e.Marker) > maxMarkerBytes || strings.ContainsAny(e.Marker, "\r\n") {
		return newInvalidError(prefix+"marker", e.Marker, fmt.Sprintf("one line of up to %d bytes", maxMarkerBytes))
	}
	if e.Method == http.MethodGet && e.BodyBytes != 0 {
		return newInvalidError(prefix+"body_bytes", e.BodyBytes, "0 with method "+e.Method)
	}
	return errors.WithMessage(e.checkNumbers(prefix), "mix entry "+e.Name)
}

func (e Entry) checkNumbers(prefix string) error {
	checks := []error{
		checkRange(prefix+"weight", float64(e.Weight), 1, maxWeight),
		checkRange(prefix+"body_bytes", float64(e.BodyBytes), 0, maxBodyBytes),
		checkRange(prefix+"answer_bytes", float64(e.AnswerBytes), 0, maxBodyBytes),
		checkRange(prefix+"deadline_ms", float64(e.DeadlineMS), 0, maxDeadlineMS),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkRange(field string, value, lowest, highest float64) error {
	if value >= lowest && value <= highest {
		return nil
	}
	return newInvalidError(field, value, fmt.Sprintf("%.0f to %.0f", lowest, highest))
}

func newInvalidError(field string, value any, allowed string) error {
	return errors.Wrapf(ErrInvalid, "field %s: value %#v is not allowed, allowed: %s", field, value, allowed)
}

func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return newInvalidError(wrongType.Field, wrongType.Value, "a value of type "+wrongType.Type.String())
	}
	return errors.Wrapf(ErrInvalid, "%v; allowed fields are listed in poplarbench/scenarios/README.md", err)
}
